//! Periodic work of a node.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::command::Command;
use crate::message::Message;
use crate::node::Node;
use crate::topology::Topology;

/// The number of peers that are asked to ping an unresponsive one.
const HELPERS: usize = 3;

/// The interval between pings to a process that counts as dead.
const DEAD_PING_INTERVAL: Duration = Duration::from_secs(5);

/// How long the state of a peer that is no neighbour is kept after its last
/// message.
const PEER_RETENTION: Duration = Duration::from_mins(1);

impl Node {
    /// Performs the work that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        self.check_isolation(now);
        self.liveness.tick(self.journal.roster(), now);
        self.update_topology(now);
        self.ping_due(now, &mut out);
        self.probe(now, &mut out);
        self.update_children(now);
        self.update_in_force(now);
        self.announce(now, &mut out);
        self.catch_up(now, &mut out);
        self.make_calls(now, &mut out);
        self.try_join(now);
        out
    }

    /// Recomputes the topology if the roster or the liveness has changed or the
    /// contacts are due for replacement.
    pub(super) fn update_topology(&mut self, now: Instant) {
        let version = self.roster().through();
        let generation = self.liveness.generation();
        let drawn = match self.computed {
            Some((of, at_generation, drawn))
                if now.saturating_duration_since(drawn) < self.options.contact_lifetime =>
            {
                if (of, at_generation) == (version, generation) {
                    return;
                }
                drawn
            }
            _ => {
                self.topology.contacts.clear();
                now
            }
        };
        let watched = self.watches();
        self.topology = Topology::compute(
            self.registration.record(),
            self.journal.roster(),
            &self.liveness,
            &self.options,
            &self.topology,
            &mut self.rng,
        );
        self.computed = Some((version, generation, drawn));
        self.drop_peers(now);
        if self.watches() && !watched {
            let spread = Duration::from_secs(1);
            self.calls.delay(now, spread, &mut self.rng);
        }
    }

    /// Drops peers outside the topology after a while, and starts the timers of
    /// new neighbours.
    fn drop_peers(&mut self, now: Instant) {
        let topology = &self.topology;
        self.peers.retain(|process, peer| {
            let linked = topology.links().any(|link| link == process);
            linked || peer.idle_time(now) < PEER_RETENTION
        });
        let neighbours: Vec<Process> = self.topology.tree().cloned().collect();
        for neighbour in neighbours {
            let known = self.peers.contains(&neighbour);
            let probe = self.options.probe_timeout;
            let peer = self.peer(&neighbour, now);
            if !known || peer.idle_time(now) > probe {
                peer.since = now;
            }
        }
    }

    fn ping_due(&mut self, now: Instant, out: &mut Vec<Command>) {
        let every = self.options.ping_interval;
        let heads = self.topology.heads.iter();
        let heads = heads.flat_map(|(_, heads)| heads.iter().take(self.heads_to_ping(heads, now)));
        let mut due: Vec<Process> = self
            .topology
            .children
            .iter()
            .chain(heads)
            .cloned()
            .collect();
        if !self.join.complete {
            due.extend(self.topology.parent.iter().cloned());
            due.extend(self.topology.contacts.iter().cloned());
            due.extend(self.unknown_seeds());
        }
        for process in due {
            self.ping_paced(&process, every, now, out);
        }
        for process in self.topology.dead_successors.clone() {
            self.ping_paced(&process, DEAD_PING_INTERVAL, now, out);
        }
        self.exchange(now, out);
    }

    /// Returns how many of a data centre's first processes to ping: the second
    /// one only while the first is unresponsive.
    fn heads_to_ping(&self, heads: &[Process], now: Instant) -> usize {
        let first = heads.first().and_then(|head| self.peers.get(head));
        let unresponsive =
            first.is_some_and(|peer| peer.idle_time(now) > self.options.probe_timeout);
        1 + usize::from(unresponsive)
    }

    fn unknown_seeds(&self) -> Vec<Process> {
        let seeds = self.seeds.keys();
        let unknown = seeds.filter(|seed| self.roster().get(seed).is_none());
        unknown
            .filter(|seed| **seed != self.record().process)
            .cloned()
            .collect()
    }

    fn ping_paced(
        &mut self,
        process: &Process,
        every: Duration,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if !self.peer(process, now).pinged_within(every, now) {
            self.ping(process, now, out);
        }
    }

    /// Exchanges state with the next of the random peers.
    fn exchange(&mut self, now: Instant, out: &mut Vec<Command>) {
        let paced = self
            .exchanged
            .is_some_and(|at| now.saturating_duration_since(at) < self.options.exchange_interval);
        let contacts = &self.topology.contacts;
        if paced || contacts.is_empty() {
            return;
        }
        self.next_contact = (self.next_contact + 1) % contacts.len();
        let contact = contacts[self.next_contact].clone();
        self.exchanged = Some(now);
        self.ping(&contact, now, out);
    }

    /// Probes unresponsive neighbours, and suspects those that nobody reaches. A
    /// node that receives no messages at all suspects no neighbour, since its own
    /// connection is the likelier cause.
    fn probe(&mut self, now: Instant, out: &mut Vec<Command>) {
        let limit = self.options.probe_timeout;
        let is_alone = self.peers.values().all(|peer| peer.idle_time(now) > limit);
        let tree: Vec<Process> = self.topology.tree().cloned().collect();
        for process in tree {
            let idle = self.peer(&process, now).idle_time(now);
            if idle <= limit {
                continue;
            }
            self.ping_paced(&process, self.options.ping_interval, now, out);
            self.relay(&process, now, out);
            if idle > self.options.suspect_timeout && !is_alone {
                self.suspect(&process, now);
            }
        }
    }

    fn relay(&mut self, target: &Process, now: Instant, out: &mut Vec<Command>) {
        let every = self.options.ping_interval;
        if self.peer(target, now).relayed_within(every, now) {
            return;
        }
        self.peer(target, now).relayed = Some(now);
        let others = self.topology.links().filter(|link| *link != target);
        let helpers = others.choose_multiple(&mut self.rng, HELPERS);
        for helper in helpers {
            Self::send(helper, Message::Relay(target.clone()), out);
        }
    }

    fn suspect(&mut self, process: &Process, now: Instant) {
        let record = self.journal.roster().get(process);
        if let Some(incarnation) = record.map(|record| record.incarnation) {
            self.liveness.suspect(process, incarnation, now);
        }
    }

    /// Records since when each child lacks the newest revision or is
    /// unresponsive.
    fn update_children(&mut self, now: Instant) {
        for child in self.topology.children.clone() {
            let (newest, probe) = (self.newest, self.options.probe_timeout);
            let peer = self.peer(&child, now);
            let lacks = peer.held < newest || peer.idle_time(now) > probe;
            peer.behind_since = match peer.behind_since {
                Some(since) if lacks => Some(since),
                None if lacks => Some(now),
                _ => None,
            };
        }
    }

    /// Computes, on a head, the revision in force and the processes that lack the
    /// newest one.
    fn update_in_force(&mut self, now: Instant) {
        if !self.topology.is_head() {
            return;
        }
        let confirmed = self.aggregate(now).in_force();
        self.in_force = self.in_force.max(confirmed.unwrap_or_default());
        let (lacking, laggards) = self.aggregate(now).lacking();
        self.lacking = (lacking > 0).then_some((lacking, laggards, now));
    }

    /// Announces changes without waiting for a ping: a changed report to the
    /// parent, a newly confirmed revision to the children.
    fn announce(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.announce_report(now, out);
        if self.in_force > self.announced_in_force {
            self.announced_in_force = self.in_force;
            for child in self.topology.children.clone() {
                self.ping(&child, now, out);
            }
        }
    }

    fn announce_report(&mut self, now: Instant, out: &mut Vec<Command>) {
        let acknowledgement = self.aggregate(now).subtree().acknowledgement;
        let announced = self
            .announced_report
            .map(|announced| (announced.fingerprint, announced.held));
        if announced == Some((acknowledgement.fingerprint, acknowledgement.held)) {
            return;
        }
        self.announced_report = Some(acknowledgement);
        let heads = self.topology.heads.iter().flat_map(|(_, heads)| heads);
        let readers = self.topology.parent.iter().chain(heads);
        let asked = readers.filter_map(|reader| {
            let stamp = self.peers.get(reader)?.last_stamp?;
            Some((reader.clone(), stamp))
        });
        for (reader, stamp) in asked.collect::<Vec<_>>() {
            self.pong(&reader, stamp, now, out);
        }
    }

    /// Requests what the node lacks from a peer if it has not been sent for a
    /// while.
    fn catch_up(&mut self, now: Instant, out: &mut Vec<Command>) {
        let (held, roster) = (self.log.held(), self.roster().through());
        let probe = self.options.probe_timeout;
        let ahead = self.peers.iter().filter(|(_, peer)| {
            let more = peer.held > held || peer.roster > roster;
            more && peer.idle_time(now) < probe
        });
        let source = ahead.map(|(process, _)| process).choose(&mut self.rng);
        let Some(source) = source.cloned() else {
            self.lagging_since = None;
            self.stale.fallback_at = None;
            return;
        };
        let repeat = self.options.repeat_interval;
        let since = *self.lagging_since.get_or_insert(now);
        let late = self.options.fallback_delay;
        if self.stale.fallback_at.is_none() && now.saturating_duration_since(since) >= late {
            self.stale.fallback_at = Some(now + late.mul_f64(self.rng.random()));
        }
        let last = self.fetched.map_or(since, |fetched| fetched.max(since));
        if now.saturating_duration_since(last) >= repeat {
            self.fetch(&source, now, out);
        }
    }
}
