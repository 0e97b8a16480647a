//! Receiving the outcome of a proposal and sending it to others.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Step;

use super::{Command, Member, Open, Phase};
use crate::ballot::Ballot;
use crate::message::{Body, Peer, Reason, Verdict};
use crate::proposal::{Id, Proposal};
use crate::view::Rank;

impl Member {
    /// Returns the outcome of a proposal from this active member's point of view.
    ///
    /// A proposal that is neither open here nor committed was never promised
    /// by this rank, was aborted, or belongs to an earlier view whose proposals
    /// have been settled.
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

    /// Handles a query. A rank that has not promised when another is blocked on
    /// the outcome never promises.
    pub(super) fn handle_query(
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
                self.merge_promises(ballot, now, out);
            }
            _ if urgent && self.verdict(proposal) == Verdict::Abort => {
                self.highest = self.highest.max(proposal.id);
            }
            _ => {}
        }
    }

    pub(super) fn send_outcome(&self, to: Peer, proposal: &Proposal, out: &mut Vec<Command>) {
        if self.phase != Phase::Active {
            return;
        }
        let undecided = proposal.id > self.highest && proposal.view == self.view.number;
        let verdict = match self.verdict(proposal) {
            Verdict::Abort if undecided => Verdict::Open(Ballot::default()),
            verdict => verdict,
        };
        let proposal = *proposal;
        self.send(to, Body::Outcome { proposal, verdict }, out);
    }

    pub(super) fn apply_outcome(
        &mut self,
        proposal: &Proposal,
        verdict: Verdict,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let open = self.promised().is_some_and(|open| open.id == proposal.id);
        match verdict {
            Verdict::Open(ballot) if open => self.merge_promises(&ballot, now, out),
            Verdict::Open(_) => {}
            Verdict::Commit if open => self.commit(*proposal, now, out),
            Verdict::Commit => self.send_applied(proposal, out),
            Verdict::Abort => self.handle_abort(proposal.id, now, out),
        }
    }

    /// Sends a coordinator the outcome of its proposal, as settled in a later
    /// view.
    pub(super) fn correct_coordinator(&self, proposal: Proposal, out: &mut Vec<Command>) {
        match self.verdict(&proposal) {
            Verdict::Open(_) => {}
            Verdict::Commit => self.send_applied(&proposal, out),
            Verdict::Abort => {
                let verdict = Verdict::Abort;
                let coordinator = Peer::Coordinator(proposal.id.fence);
                self.send(coordinator, Body::Outcome { proposal, verdict }, out);
            }
        }
    }

    fn send_applied(&self, proposal: &Proposal, out: &mut Vec<Command>) {
        if self.current.map >= proposal.switch.map {
            let id = proposal.id;
            self.send(Peer::Coordinator(id.fence), Body::Applied { id }, out);
        }
    }

    fn handle_abort(&mut self, id: Id, now: Instant, out: &mut Vec<Command>) {
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
            self.reconcile(now, out);
        }
    }

    /// Merges promises observed by others, unless the view has changed since the
    /// proposal.
    fn merge_promises(&mut self, others: &Ballot, now: Instant, out: &mut Vec<Command>) {
        let view = self.view.number;
        if let Open::Promised { proposal, ballot } = &mut self.open
            && proposal.view == view
        {
            ballot.merge(others);
            self.commit_if_complete(now, out);
        }
    }

    /// Commits the open proposal if every rank is known to have promised.
    pub(super) fn commit_if_complete(&mut self, now: Instant, out: &mut Vec<Command>) {
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
        self.reconcile(now, out);
        self.schedule_wake(out);
    }

    /// Queries the coordinator and one other rank for the outcome of the open
    /// proposal.
    ///
    /// The distance to the queried rank doubles each time. Information of any
    /// rank therefore reaches all others in as many rounds as the group's size
    /// has binary digits.
    ///
    /// The first wake after the promise may fire at once, so it sends nothing.
    pub(super) fn query_outcome(&mut self, out: &mut Vec<Command>) {
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
            urgent: self.has_reached(proposal.hold_step()),
        };
        let coordinator = Peer::Coordinator(proposal.id.fence);
        self.send(coordinator, query.clone(), out);
        self.send(Peer::Rank(self.next_peer()), query, out);
    }

    /// Returns whether the engine has reached the hold step.
    fn has_reached(&self, hold: Step) -> bool {
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
