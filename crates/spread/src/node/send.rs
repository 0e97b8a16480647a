//! Messages that a node sends to its peers.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;

use crate::command::Command;
use crate::message::{Fetch, Message, Ping, Pong, Summary};
use crate::node::Node;
use crate::peer::Peer;
use crate::tail;

impl Node {
    pub(super) fn send(to: &Process, message: Message, out: &mut Vec<Command>) {
        let to = to.clone();
        out.push(Command::Send { to, message });
    }

    pub(super) fn peer(&mut self, process: &Process, now: Instant) -> &mut Peer {
        self.peers
            .get_or_insert_with(process.clone(), || Peer::new(now))
    }

    fn summary(&mut self, to: &Process) -> Summary {
        Summary {
            held: self.log.held(),
            roster: self.roster().through(),
            in_force: self.in_force,
            caught_up: self.join.caught_up,
            rumours: self.liveness.rumours(to),
        }
    }

    pub(super) fn ping(&mut self, to: &Process, now: Instant, out: &mut Vec<Command>) {
        self.peer(to, now).pinged = Some(now);
        let child = self.topology.children.contains(to);
        let reported = self.lacking.as_ref().filter(|_| child);
        let lacking = reported.map(|(count, laggards, _)| (*count, laggards.clone()));
        let ping = Ping {
            stamp: self.stamps.make(now),
            summary: self.summary(to),
            lacking,
        };
        Self::send(to, Message::Ping(ping), out);
    }

    /// Answers the last ping of `to`. The answer includes a report if `to` is the
    /// parent or, from head to head, in another data centre.
    pub(super) fn pong(&mut self, to: &Process, stamp: u64, now: Instant, out: &mut Vec<Command>) {
        let wanted = self.reports_to(to);
        let report = wanted.then(|| self.aggregate(now).subtree());
        let pong = Pong {
            stamp,
            summary: self.summary(to),
            report,
        };
        Self::send(to, Message::Pong(pong), out);
    }

    pub(super) fn reports_to(&self, to: &Process) -> bool {
        if self.topology.parent.as_ref() == Some(to) {
            return true;
        }
        let elsewhere = self
            .roster()
            .get(to)
            .is_some_and(|record| record.data_centre != self.registration.record().data_centre);
        elsewhere && self.topology.is_head()
    }

    pub(super) fn fetch(&mut self, from: &Process, now: Instant, out: &mut Vec<Command>) {
        self.fetched = Some(now);
        let fetch = Fetch {
            held: self.log.held(),
            roster: self.roster().through(),
        };
        Self::send(from, Message::Fetch(fetch), out);
    }

    /// Sends `to` the roster changes and revisions that it lacks. Large transfers
    /// are sent only if `asked` is set.
    pub(super) fn offer(
        &mut self,
        to: &Process,
        asked: bool,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        self.offer_roster(to, asked, now, out);
        let repeat = self.options.repeat_interval;
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let expected = peer.expected(repeat, now);
        if expected >= self.log.held() {
            return;
        }
        let spans = self.log.since(expected);
        if spans.is_empty() || !self.afford(tail::cost(&spans), asked, now) {
            return;
        }
        let through = self.log.held();
        self.peer(to, now).offer(through, now);
        for span in spans {
            Self::send(to, Message::Span(span), out);
        }
    }

    fn offer_roster(&mut self, to: &Process, asked: bool, now: Instant, out: &mut Vec<Command>) {
        let repeat = self.options.repeat_interval;
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let expected = peer.expected_roster(repeat, now);
        if expected >= self.roster().through() {
            return;
        }
        if !self.afford(self.journal.cost_since(expected), asked, now) {
            return;
        }
        let Some(delta) = self.journal.since(expected) else {
            return;
        };
        self.peer(to, now).offer_roster(delta.through, now);
        Self::send(to, Message::Delta(delta), out);
    }

    fn afford(&mut self, bytes: usize, asked: bool, now: Instant) -> bool {
        if bytes <= self.options.push_max {
            self.pushes.take(bytes, now)
        } else {
            asked && self.bulk.take(bytes, now)
        }
    }

    /// Sends new roster changes and revisions to the neighbours in the tree.
    pub(super) fn push(&mut self, now: Instant, out: &mut Vec<Command>) {
        let neighbours: Vec<Process> = self.topology.tree().cloned().collect();
        for neighbour in neighbours {
            self.peer(&neighbour, now);
            self.offer(&neighbour, false, now, out);
        }
    }
}
