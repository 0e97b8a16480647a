//! What a node makes of its peers' messages.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_member::Delta;

use crate::command::Command;
use crate::log::Taken;
use crate::message::{Fetch, Message, Ping, Pong, Summary};
use crate::node::Node;
use crate::span::Span;

impl Node {
    /// Takes in a message of peer `from`, whose name the link has proved.
    pub fn on_message(&mut self, from: &Process, message: Message, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        self.notice(now);
        self.peer(from, now).heard = Some(now);
        for asker in self.relays.heard(from, now) {
            Self::send(&asker, Message::Heard(from.clone()), &mut out);
        }
        match message {
            Message::Ping(ping) => self.pinged(from, ping, now, &mut out),
            Message::Pong(pong) => self.answered(from, pong, now, &mut out),
            Message::Span(span) => {
                let peer = self.peer(from, now);
                peer.held = peer.held.max(span.through);
                self.take_spans(vec![span], Some(from), now, &mut out);
            }
            Message::Delta(delta) => {
                let peer = self.peer(from, now);
                peer.roster = peer.roster.max(delta.through);
                self.take_delta(delta, Some(from), now, &mut out);
            }
            Message::Fetch(fetch) => self.asked(from, &fetch, now, &mut out),
            Message::Relay(target) => {
                if self.relays.open(from, &target, now) {
                    self.ping(&target, now, &mut out);
                }
            }
            Message::Heard(target) => {
                if let Some(peer) = self.peers.get_mut(&target) {
                    peer.heard = Some(now);
                }
            }
        }
        self.enter(now);
        out
    }

    fn pinged(&mut self, from: &Process, ping: Ping, now: Instant, out: &mut Vec<Command>) {
        self.learn(from, &ping.summary, now);
        self.peer(from, now).asked = Some(ping.stamp);
        if self.structure.parent.as_ref() == Some(from) {
            let told = ping.lacking;
            self.lacking = told.map(|(count, laggards)| (count, laggards, now));
        }
        self.pong(from, ping.stamp, now, out);
        self.offer(from, false, now, out);
    }

    fn answered(&mut self, from: &Process, pong: Pong, now: Instant, out: &mut Vec<Command>) {
        self.learn(from, &pong.summary, now);
        if let Some(asked) = self.stamps.read(pong.stamp, now) {
            let peer = self.peer(from, now);
            peer.answered = peer.answered.max(Some(asked));
            if let Some(report) = pong.report {
                peer.report = Some((report, asked));
            }
        }
        self.offer(from, false, now, out);
    }

    fn learn(&mut self, from: &Process, summary: &Summary, now: Instant) {
        self.peer(from, now).hear(summary);
        self.newest = self.newest.max(summary.held);
        self.in_force = self.in_force.max(summary.in_force);
        for rumour in &summary.rumours {
            self.liveness.hear(rumour, self.journal.roster(), now);
        }
        self.notice_later_life(now);
    }

    fn asked(&mut self, from: &Process, fetch: &Fetch, now: Instant, out: &mut Vec<Command>) {
        let peer = self.peer(from, now);
        peer.held = fetch.held;
        peer.roster = fetch.roster;
        peer.retract();
        self.offer(from, true, now, out);
    }

    /// Takes in spans, puts them into force in order, passes them on and tells
    /// whether revisions before one of them are missing.
    pub(super) fn take_spans(
        &mut self,
        spans: Vec<Span>,
        from: Option<&Process>,
        now: Instant,
        out: &mut Vec<Command>,
    ) -> bool {
        let (mut gap, mut moved) = (false, false);
        for span in spans {
            self.newest = self.newest.max(span.through);
            match self.log.take(&span) {
                Taken::Applied => {
                    moved = true;
                    out.push(Command::Apply(span));
                }
                Taken::Known => {}
                Taken::Gap => gap = true,
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

    /// Takes in a change of the roster and passes it on.
    pub(super) fn take_delta(
        &mut self,
        delta: Delta,
        from: Option<&Process>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let through = delta.through;
        if self.journal.take(delta) {
            out.push(Command::Roster);
            self.notice_own_row(now);
            self.push(now, out);
        } else if let Some(peer) = from.filter(|_| through > self.roster().through()) {
            self.fetch_paced(peer, now, out);
        }
    }

    fn fetch_paced(&mut self, from: &Process, now: Instant, out: &mut Vec<Command>) {
        let paced = self
            .fetched
            .is_some_and(|at| now.saturating_duration_since(at) < self.options.repeat / 2);
        if !paced {
            self.fetch(from, now, out);
        }
    }
}
