//! One switch, from the request to the recorded map.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Step;
use cactusnotch_objects::object::Version;

use super::{Command, Coordinator, Ending, Stage};
use crate::ballot::Ballot;
use crate::map::{Map, Switch};
use crate::message::{Body, Reason, Verdict};
use crate::proposal::{Id, Proposal};
use crate::view::{Rank, View};

impl Coordinator {
    pub(super) fn switch_to(&mut self, digest: u64, out: &mut Vec<Command>) {
        if self.fence().is_none() || !self.is_idle() {
            out.push(Command::Ended(Ending::Abandoned));
            return;
        }
        self.stage = Stage::Reading { digest };
        out.push(Command::ReadGroup);
        out.push(Command::Wake(self.options.retry));
    }

    pub(super) fn group_read(&mut self, version: Version, view: View, out: &mut Vec<Command>) {
        self.size = view.size();
        match self.stage {
            Stage::Reading { digest } => {
                let epoch = view.base.map.epoch.next();
                self.record_map(Map { epoch, digest }, out);
            }
            Stage::Closing { map, ending } if view.base.map.epoch >= map.epoch => {
                self.end(ending, out);
            }
            Stage::Closing { map, .. } => {
                let from = Step(0);
                let base = Switch { map, from };
                let view = View { base, ..view };
                out.push(Command::WriteGroup { version, view });
            }
            _ => {}
        }
    }

    fn record_map(&mut self, map: Map, out: &mut Vec<Command>) {
        let Some(fence) = self.fence() else {
            return;
        };
        self.sequence = self.sequence.next();
        let sequence = self.sequence;
        let id = Id { fence, sequence };
        self.stage = Stage::Recording { id, map };
        out.push(Command::RecordMap(map));
    }

    pub(super) fn map_recorded(&mut self, recorded: Map, now: Instant, out: &mut Vec<Command>) {
        let Stage::Recording { id, map } = self.stage else {
            return;
        };
        if map == recorded {
            self.stage = Stage::Preparing {
                id,
                map,
                until: now + self.options.prepare,
                ready: Table::new(),
            };
            self.resend(now, out);
        }
    }

    /// Resends the requests that have not been answered. The first wake in a
    /// stage may fire at once, so it resends nothing.
    pub(super) fn resend(&mut self, now: Instant, out: &mut Vec<Command>) {
        match &mut self.stage {
            Stage::Idle => {}
            Stage::Reading { .. } | Stage::Closing { .. } => out.push(Command::ReadGroup),
            Stage::Recording { map, .. } => out.push(Command::RecordMap(*map)),
            Stage::Preparing { until, .. } if now >= *until => self.end(Ending::Abandoned, out),
            Stage::Preparing { id, map, ready, .. } => {
                let body = Body::Prepare { id: *id, map: *map };
                let missing = missing(self.size, |rank| ready.contains(&rank));
                self.send_to_ranks(missing, &body, out);
            }
            Stage::Voting { wakes, .. } | Stage::Applying { wakes, .. } if *wakes == 0 => {
                *wakes += 1;
            }
            Stage::Voting { wakes, .. } => {
                *wakes += 1;
                self.request_votes(out);
            }
            Stage::Applying {
                proposal, applied, ..
            } => {
                let body = Body::Outcome {
                    proposal: *proposal,
                    verdict: Verdict::Commit,
                };
                let missing = missing(self.size, |rank| applied.contains(rank));
                self.send_to_ranks(missing, &body, out);
            }
        }
    }

    /// Sends the proposal to the ranks that have not voted. After the configured
    /// number of repeats, queries them for the outcome instead, which makes
    /// ranks that have not promised veto.
    fn request_votes(&self, out: &mut Vec<Command>) {
        let Stage::Voting {
            proposal,
            ballot,
            wakes,
        } = &self.stage
        else {
            return;
        };
        let body = if *wakes > self.options.repeats + 1 {
            Body::Query {
                proposal: *proposal,
                ballot: ballot.clone(),
                urgent: true,
            }
        } else {
            Body::Propose(*proposal)
        };
        let missing = missing(self.size, |rank| ballot.contains(rank));
        self.send_to_ranks(missing, &body, out);
    }

    /// Proposes the switch once every rank has loaded its weights in one view.
    pub(super) fn handle_ready(
        &mut self,
        from: Rank,
        id: Id,
        view: u64,
        next: Step,
        out: &mut Vec<Command>,
    ) {
        let Stage::Preparing {
            id: open,
            map,
            ready,
            ..
        } = &mut self.stage
        else {
            return;
        };
        if *open != id {
            return;
        }
        ready.insert(from, (view, next));
        let newest = ready.values().map(|(view, _)| *view).max();
        ready.retain(|_, (view, _)| Some(*view) == newest);
        if ready.len() < self.size {
            return;
        }
        let furthest = ready.values().map(|(_, next)| next.0).max();
        let from = Step(furthest.unwrap_or(next.0) + self.options.lead + 1);
        let proposal = Proposal {
            id,
            view: newest.unwrap_or(view),
            switch: Switch { map: *map, from },
        };
        self.stage = Stage::Voting {
            proposal,
            ballot: Ballot::default(),
            wakes: 0,
        };
        self.request_votes(out);
        out.push(Command::Wake(self.options.retry));
    }

    pub(super) fn add_promises(&mut self, id: Id, promises: &Ballot, out: &mut Vec<Command>) {
        let Stage::Voting {
            proposal, ballot, ..
        } = &mut self.stage
        else {
            return;
        };
        if proposal.id == id {
            ballot.merge(promises);
            if ballot.is_full(self.size) {
                self.commit(id, out);
            }
        }
    }

    pub(super) fn commit(&mut self, id: Id, out: &mut Vec<Command>) {
        let Stage::Voting { proposal, .. } = self.stage else {
            return;
        };
        if proposal.id == id {
            self.announce(proposal, Verdict::Commit, out);
            self.stage = Stage::Applying {
                proposal,
                applied: Ballot::default(),
                wakes: 0,
            };
        }
    }

    fn announce(&mut self, proposal: Proposal, verdict: Verdict, out: &mut Vec<Command>) {
        self.last = Some((proposal.id, verdict.clone()));
        let body = Body::Outcome { proposal, verdict };
        self.send_to_ranks(missing(self.size, |_| false), &body, out);
    }

    pub(super) fn abort(&mut self, id: Id, reason: Reason, out: &mut Vec<Command>) {
        match self.stage {
            Stage::Preparing { id: open, .. } if open == id => {}
            Stage::Voting { proposal, .. } | Stage::Applying { proposal, .. }
                if proposal.id == id =>
            {
                self.announce(proposal, Verdict::Abort, out);
            }
            _ => return,
        }
        let ending = Ending::Vetoed(id, reason);
        match reason {
            Reason::Epoch(current) => self.record_in_force(current.map, ending, out),
            _ => self.end(ending, out),
        }
    }

    pub(super) fn handle_applied(&mut self, from: Rank, id: Id, out: &mut Vec<Command>) {
        let Stage::Applying {
            proposal, applied, ..
        } = &mut self.stage
        else {
            return;
        };
        if proposal.id != id {
            return;
        }
        applied.insert(from);
        if applied.is_full(self.size) {
            let map = proposal.switch.map;
            self.record_in_force(map, Ending::Applied(id, map), out);
        }
    }

    /// Records the map in force on the platform.
    fn record_in_force(&mut self, map: Map, ending: Ending, out: &mut Vec<Command>) {
        self.stage = Stage::Closing { map, ending };
        out.push(Command::ReadGroup);
    }

    /// Answers a rank that queries for an outcome.
    pub(super) fn handle_query(&self, from: Rank, proposal: Proposal, out: &mut Vec<Command>) {
        let verdict = match (&self.stage, &self.last) {
            (
                Stage::Voting {
                    proposal: open,
                    ballot,
                    ..
                },
                _,
            ) if open.id == proposal.id => Verdict::Open(ballot.clone()),
            (_, Some((last, verdict))) if *last == proposal.id => verdict.clone(),
            _ => return,
        };
        self.send_to_ranks([from], &Body::Outcome { proposal, verdict }, out);
    }
}

/// Returns the ranks of a group of `size` for which `has` returns false.
fn missing(size: usize, has: impl Fn(Rank) -> bool) -> Vec<Rank> {
    let size = u16::try_from(size).unwrap_or(u16::MAX);
    (0..size).map(Rank).filter(|rank| !has(*rank)).collect()
}
