//! Handling of messages from peers.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_member::Delta;

use crate::command::Command;
use crate::log::Outcome;
use crate::message::{Fetch, Message, Ping, Pong, Summary};
use crate::node::Node;
use crate::span::Span;

impl Node {
    /// Handles a message of peer `from`, whose name the link has authenticated.
    pub fn on_message(&mut self, from: &Process, message: Message, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        self.check_isolation(now);
        self.peer(from, now).last_seen = Some(now);
        for requester in self.relays.close(from, now) {
            Self::send(&requester, Message::Reached(from.clone()), &mut out);
        }
        match message {
            Message::Ping(ping) => self.on_ping(from, ping, now, &mut out),
            Message::Pong(pong) => self.on_pong(from, pong, now, &mut out),
            Message::Span(span) => {
                let peer = self.peer(from, now);
                peer.held = peer.held.max(span.through);
                self.apply_spans(vec![span], Some(from), now, &mut out);
            }
            Message::Delta(delta) => {
                let peer = self.peer(from, now);
                peer.roster = peer.roster.max(delta.through);
                self.apply_delta(delta, Some(from), now, &mut out);
            }
            Message::Fetch(fetch) => self.on_fetch(from, &fetch, now, &mut out),
            Message::Relay(target) => {
                if self.relays.open(from, &target, now) {
                    self.ping(&target, now, &mut out);
                }
            }
            Message::Reached(target) => {
                if let Some(peer) = self.peers.get_mut(&target) {
                    peer.last_seen = Some(now);
                }
            }
        }
        self.try_join(now);
        out
    }

    fn on_ping(&mut self, from: &Process, ping: Ping, now: Instant, out: &mut Vec<Command>) {
        self.apply_summary(from, &ping.summary, now);
        self.peer(from, now).last_stamp = Some(ping.stamp);
        if self.topology.parent.as_ref() == Some(from) {
            let reported = ping.lacking;
            self.lacking = reported.map(|(count, laggards)| (count, laggards, now));
        }
        self.pong(from, ping.stamp, now, out);
        self.offer(from, false, now, out);
    }

    fn on_pong(&mut self, from: &Process, pong: Pong, now: Instant, out: &mut Vec<Command>) {
        self.apply_summary(from, &pong.summary, now);
        if let Some(asked) = self.stamps.read(pong.stamp, now) {
            let peer = self.peer(from, now);
            peer.answered = peer.answered.max(Some(asked));
            if let Some(report) = pong.report {
                peer.report = Some((report, asked));
            }
        }
        self.offer(from, false, now, out);
    }

    fn apply_summary(&mut self, from: &Process, summary: &Summary, now: Instant) {
        self.peer(from, now).record_summary(summary);
        self.newest = self.newest.max(summary.held);
        self.in_force = self.in_force.max(summary.in_force);
        for rumour in &summary.rumours {
            self.liveness.apply(rumour, self.journal.roster(), now);
        }
        self.check_later_incarnation(now);
    }

    fn on_fetch(&mut self, from: &Process, fetch: &Fetch, now: Instant, out: &mut Vec<Command>) {
        let peer = self.peer(from, now);
        peer.held = fetch.held;
        peer.roster = fetch.roster;
        peer.clear_offers();
        self.offer(from, true, now, out);
    }

    /// Applies spans in order, forwards them, and returns whether revisions before
    /// one of them are missing.
    pub(super) fn apply_spans(
        &mut self,
        spans: Vec<Span>,
        from: Option<&Process>,
        now: Instant,
        out: &mut Vec<Command>,
    ) -> bool {
        let (mut gap, mut moved) = (false, false);
        for span in spans {
            self.newest = self.newest.max(span.through);
            match self.log.apply(&span) {
                Outcome::Applied => {
                    moved = true;
                    out.push(Command::Apply(span));
                }
                Outcome::Known => {}
                Outcome::Gap => gap = true,
            }
        }
        if moved {
            self.push(now, out);
        }
        if let Some(peer) = from.filter(|_| gap) {
            self.fetch_paced(peer, now, out);
        }
        gap
    }

    /// Applies a change of the roster and forwards it.
    pub(super) fn apply_delta(
        &mut self,
        delta: Delta,
        from: Option<&Process>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let through = delta.through;
        if self.journal.apply(delta) {
            out.push(Command::Roster);
            self.check_own_row(now);
            self.push(now, out);
        } else if let Some(peer) = from.filter(|_| through > self.roster().through()) {
            self.fetch_paced(peer, now, out);
        }
    }

    fn fetch_paced(&mut self, from: &Process, now: Instant, out: &mut Vec<Command>) {
        let paced = self
            .fetched
            .is_some_and(|at| now.saturating_duration_since(at) < self.options.repeat_interval / 2);
        if !paced {
            self.fetch(from, now, out);
        }
    }
}
