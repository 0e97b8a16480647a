//! Learning how a proposal ended, and telling others.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Step;

use super::{Command, Member, Open, Phase};
use crate::ballot::Ballot;
use crate::message::{Body, Peer, Reason, Verdict};
use crate::proposal::{Id, Proposal};
use crate::view::Rank;

impl Member {
    /// Returns what this standing member knows of a proposal's outcome.
    ///
    /// A proposal that is neither open here nor committed was never promised
    /// by this rank, or is known to be aborted, or was proposed in an earlier
    /// view that has been settled.
    pub(super) fn verdict(&self, proposal: &Proposal) -> Verdict {
        match &self.open {
            Open::Committed { switch, .. } if *switch == proposal.switch => Verdict::Commit,
            _ if self.current == proposal.switch => Verdict::Commit,
            Open::Holding(open) if open.id == proposal.id => Verdict::Open(Ballot::default()),
            Open::Promised {
                proposal: open,
                ballot,
            } if open.id == proposal.id => Verdict::Open(ballot.clone()),
            _ => Verdict::Abort,
        }
    }

    /// Takes in a query. A rank that has not promised by the time that another
    /// waits for the outcome never will.
    pub(super) fn queried(
        &mut self,
        proposal: &Proposal,
        ballot: &Ballot,
        urgent: bool,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if self.phase != Phase::Active {
            return;
        }
        match &self.open {
            Open::Holding(open) if open.id == proposal.id && urgent => {
                self.withdraw(proposal.id, Reason::Queried, now, out);
            }
            Open::Promised { proposal: open, .. } if open.id == proposal.id => {
                self.merge(ballot, now, out);
            }
            _ if urgent && self.verdict(proposal) == Verdict::Abort => {
                self.highest = self.highest.max(proposal.id);
            }
            _ => {}
        }
    }

    pub(super) fn answer(&self, to: Peer, proposal: &Proposal, out: &mut Vec<Command>) {
        if self.phase != Phase::Active {
            return;
        }
        let undecided = proposal.id > self.highest && proposal.view == self.view.number;
        let verdict = match self.verdict(proposal) {
            Verdict::Abort if undecided => Verdict::Open(Ballot::default()),
            verdict => verdict,
        };
        let proposal = *proposal;
        self.tell(to, Body::Outcome { proposal, verdict }, out);
    }

    pub(super) fn learned(
        &mut self,
        proposal: &Proposal,
        verdict: Verdict,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let open = self.promised().is_some_and(|open| open.id == proposal.id);
        match verdict {
            Verdict::Open(ballot) if open => self.merge(&ballot, now, out),
            Verdict::Open(_) => {}
            Verdict::Commit if open => self.commit(*proposal, now, out),
            Verdict::Commit => self.say_applied(proposal, out),
            Verdict::Abort => self.learned_abort(proposal.id, now, out),
        }
    }

    /// Tells a coordinator that its proposal was settled in a later view.
    pub(super) fn contradict(&self, proposal: Proposal, out: &mut Vec<Command>) {
        match self.verdict(&proposal) {
            Verdict::Open(_) => {}
            Verdict::Commit => self.say_applied(&proposal, out),
            Verdict::Abort => {
                let verdict = Verdict::Abort;
                let coordinator = Peer::Coordinator(proposal.id.fence);
                self.tell(coordinator, Body::Outcome { proposal, verdict }, out);
            }
        }
    }

    fn say_applied(&self, proposal: &Proposal, out: &mut Vec<Command>) {
        if self.current.map >= proposal.switch.map {
            let id = proposal.id;
            self.tell(Peer::Coordinator(id.fence), Body::Applied { id }, out);
        }
    }

    fn learned_abort(&mut self, id: Id, now: Instant, out: &mut Vec<Command>) {
        self.highest = self.highest.max(id);
        if self.prepared.as_ref().is_some_and(|old| old.id <= id) {
            self.prepared = None;
        }
        let open = match &self.open {
            Open::Holding(proposal) | Open::Promised { proposal, .. } => proposal.id,
            _ => return,
        };
        if open == id {
            self.open = Open::Nothing;
            out.push(Command::Decided { id, switch: None });
            self.pursue(now, out);
        }
    }

    /// Takes in promises that others know of, unless the view has changed
    /// since the proposal.
    fn merge(&mut self, others: &Ballot, now: Instant, out: &mut Vec<Command>) {
        let view = self.view.number;
        if let Open::Promised { proposal, ballot } = &mut self.open
            && proposal.view == view
        {
            ballot.merge(others);
            self.count(now, out);
        }
    }

    /// Commits if every rank is known to have promised.
    pub(super) fn count(&mut self, now: Instant, out: &mut Vec<Command>) {
        if let Open::Promised { proposal, ballot } = &self.open
            && ballot.is_full(self.view.size())
        {
            self.commit(*proposal, now, out);
        }
    }

    fn commit(&mut self, proposal: Proposal, now: Instant, out: &mut Vec<Command>) {
        let (id, switch) = (proposal.id, proposal.switch);
        self.prepared = None;
        self.open = Open::Committed {
            id: Some(id),
            switch,
        };
        let switch = Some(switch);
        out.push(Command::Decided { id, switch });
        self.pursue(now, out);
        self.sleep(out);
    }

    /// Asks the coordinator and one other rank how the open proposal ended.
    ///
    /// The distance to the rank that is asked doubles each time, so that what
    /// any rank knows reaches all in as many rounds as the group's size has
    /// binary digits.
    ///
    /// The first wake after the promise may come at once and asks nothing.
    pub(super) fn ask_outcome(&mut self, out: &mut Vec<Command>) {
        self.wakes += 1;
        if self.wakes == 1 {
            return;
        }
        let Open::Promised { proposal, ballot } = &self.open else {
            return;
        };
        let query = Body::Query {
            proposal: *proposal,
            ballot: ballot.clone(),
            urgent: self.waits_at(proposal.hold_step()),
        };
        let coordinator = Peer::Coordinator(proposal.id.fence);
        self.tell(coordinator, query.clone(), out);
        self.tell(Peer::Rank(self.next_peer()), query, out);
    }

    /// Tells whether the engine has come to the hold step.
    fn waits_at(&self, hold: Step) -> bool {
        self.engine
            .as_ref()
            .is_some_and(|engine| engine.next >= hold)
    }

    fn next_peer(&self) -> Rank {
        let size = u32::try_from(self.view.size()).unwrap_or(u32::MAX);
        let rounds = size.next_power_of_two().trailing_zeros().max(1);
        let distance = 1 << (self.wakes % rounds);
        let rank = (u32::from(self.rank.0) + distance) % size.max(1);
        Rank(u16::try_from(rank).unwrap_or(u16::MAX))
    }
}
