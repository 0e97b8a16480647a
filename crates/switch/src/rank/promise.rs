//! Loading weights for a proposal and voting on it.

use cactusnotch_base::clock::Instant;
use cactusnotch_order::Event as OrderEvent;

use super::{Command, Member, Open, Prepared};
use crate::ballot::Ballot;
use crate::map::Map;
use crate::message::{Body, Peer, Reason, Verdict, Vote};
use crate::proposal::{Id, Proposal};

impl Member {
    /// Starts to load the experts of a map. A request for a proposal up to the
    /// last one voted on is late and gets no answer, because votes are final.
    pub(super) fn handle_prepare(
        &mut self,
        id: Id,
        map: Map,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if id <= self.highest {
            return;
        }
        if self.open != Open::Nothing {
            self.veto(id, Reason::Busy, out);
        } else if map.epoch != self.current.map.epoch.next() {
            self.veto(id, Reason::Epoch(self.current), out);
        } else if self.prepared.as_ref().is_none_or(|old| old.id <= id) {
            let ready = false;
            self.prepared = Some(Prepared { id, map, ready });
            self.drive_sender(OrderEvent::Refresh, now, out);
            self.schedule_wake(out);
        }
    }

    /// Notifies the coordinator that the weights of the prepared map are loaded.
    pub(super) fn send_ready(&self, id: Id, out: &mut Vec<Command>) {
        let Some(engine) = &self.engine else {
            return;
        };
        let body = Body::Ready {
            id,
            view: self.view.number,
            next: engine.next,
        };
        self.send(Peer::Coordinator(id.fence), body, out);
    }

    pub(super) fn handle_proposal(
        &mut self,
        proposal: &Proposal,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        match self.verdict(proposal) {
            Verdict::Open(_) | Verdict::Commit => self.send_vote(proposal.id, out),
            Verdict::Abort if proposal.id <= self.highest => {
                let verdict = Verdict::Abort;
                let proposal = *proposal;
                let body = Body::Outcome { proposal, verdict };
                self.send(Peer::Coordinator(proposal.id.fence), body, out);
            }
            Verdict::Abort => match self.veto_reason(proposal) {
                Some(reason) => self.veto(proposal.id, reason, out),
                None => self.accept(proposal, now, out),
            },
        }
    }

    fn veto_reason(&self, proposal: &Proposal) -> Option<Reason> {
        let ready = |prepared: &Prepared| prepared.ready && prepared.id == proposal.id;
        let engine = self.engine.as_ref();
        if self.open != Open::Nothing {
            Some(Reason::Busy)
        } else if proposal.view != self.view.number {
            Some(Reason::View)
        } else if proposal.switch.map.epoch != self.current.map.epoch.next() {
            Some(Reason::Epoch(self.current))
        } else if !self.prepared.as_ref().is_some_and(ready) {
            Some(Reason::Unprepared)
        } else if proposal.hold_step() <= self.last_hold
            || engine.is_none_or(|engine| engine.next > proposal.hold_step())
        {
            Some(Reason::Late)
        } else {
            None
        }
    }

    fn accept(&mut self, proposal: &Proposal, now: Instant, out: &mut Vec<Command>) {
        self.highest = proposal.id;
        self.last_hold = proposal.hold_step();
        self.open = Open::Holding(*proposal);
        self.reconcile(now, out);
        self.schedule_wake(out);
    }

    /// Promises the proposal after the engine has confirmed the hold.
    pub(super) fn handle_held(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Open::Holding(proposal) = self.open else {
            return;
        };
        if proposal.view != self.view.number {
            self.withdraw(proposal.id, Reason::View, now, out);
            return;
        }
        let mut ballot = Ballot::default();
        ballot.insert(self.rank);
        self.open = Open::Promised { proposal, ballot };
        self.wakes = 0;
        self.send_vote(proposal.id, out);
        self.commit_if_complete(now, out);
    }

    pub(super) fn send_vote(&self, id: Id, out: &mut Vec<Command>) {
        let vote = match &self.open {
            Open::Promised { proposal, .. } if proposal.id == id => Vote::Promise,
            Open::Committed { id: decided, .. } if *decided == Some(id) => Vote::Promise,
            _ => return,
        };
        self.send(Peer::Coordinator(id.fence), Body::Vote { id, vote }, out);
    }

    /// Vetoes the open proposal, which the rank has not promised.
    pub(super) fn withdraw(
        &mut self,
        id: Id,
        reason: Reason,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        self.open = Open::Nothing;
        self.veto(id, reason, out);
        self.reconcile(now, out);
    }

    pub(super) fn veto(&mut self, id: Id, reason: Reason, out: &mut Vec<Command>) {
        self.highest = self.highest.max(id);
        if self.prepared.as_ref().is_some_and(|old| old.id == id) {
            self.prepared = None;
        }
        let vote = Vote::Veto(reason);
        self.send(Peer::Coordinator(id.fence), Body::Vote { id, vote }, out);
    }
}
