//! What a node does as time passes.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::command::Command;
use crate::message::Message;
use crate::node::Node;
use crate::structure::Structure;

/// How many peers are asked to ping one that is silent.
const HELPERS: usize = 3;

/// How often a process that counts as dead is tried again.
const RETRY: Duration = Duration::from_secs(5);

/// How long a peer that is no neighbour is remembered after its last message.
const MEMORY: Duration = Duration::from_mins(1);

impl Node {
    /// Does what is due at `now`.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        self.notice(now);
        self.liveness.tick(self.journal.roster(), now);
        self.restructure(now);
        self.ping_due(now, &mut out);
        self.probe(now, &mut out);
        self.judge_children(now);
        self.count(now);
        self.tell(now, &mut out);
        self.catch_up(now, &mut out);
        self.call(now, &mut out);
        self.enter(now);
        out
    }

    /// Computes anew whom the node talks to, if what it depends on changed.
    pub(super) fn restructure(&mut self, now: Instant) {
        let version = self.roster().through();
        let generation = self.liveness.generation();
        let drawn = match self.computed {
            Some((of, at_generation, drawn))
                if now.saturating_duration_since(drawn) < self.options.redraw =>
            {
                if (of, at_generation) == (version, generation) {
                    return;
                }
                drawn
            }
            _ => {
                self.structure.contacts.clear();
                now
            }
        };
        let watched = self.watches();
        self.structure = Structure::compute(
            self.registration.record(),
            self.journal.roster(),
            &self.liveness,
            &self.options,
            &self.structure,
            &mut self.rng,
        );
        self.computed = Some((version, generation, drawn));
        self.forget(now);
        if self.watches() && !watched {
            let spread = Duration::from_secs(1);
            self.calls.delay(now, spread, &mut self.rng);
        }
    }

    /// Forgets peers that the node has nothing to do with, and dates new
    /// neighbours from now.
    fn forget(&mut self, now: Instant) {
        let structure = &self.structure;
        self.peers.retain(|process, peer| {
            let linked = structure.links().any(|link| link == process);
            linked || peer.silence(now) < MEMORY
        });
        let neighbours: Vec<Process> = self.structure.tree().cloned().collect();
        for neighbour in neighbours {
            let known = self.peers.contains(&neighbour);
            let probe = self.options.probe;
            let peer = self.peer(&neighbour, now);
            if !known || peer.silence(now) > probe {
                peer.since = now;
            }
        }
    }

    fn ping_due(&mut self, now: Instant, out: &mut Vec<Command>) {
        let every = self.options.ping;
        let heads = self.structure.heads.iter();
        let heads = heads.flat_map(|(_, heads)| heads.iter().take(self.depth(heads, now)));
        let mut due: Vec<Process> = self
            .structure
            .children
            .iter()
            .chain(heads)
            .cloned()
            .collect();
        if !self.entrance.open {
            due.extend(self.structure.parent.iter().cloned());
            due.extend(self.structure.contacts.iter().cloned());
            due.extend(self.unknown_seeds());
        }
        for process in due {
            self.ping_paced(&process, every, now, out);
        }
        for process in self.structure.adopted.clone() {
            self.ping_paced(&process, RETRY, now, out);
        }
        self.exchange(now, out);
    }

    /// Returns how many of a data centre's first processes to ping: the second
    /// one only while the first is silent.
    fn depth(&self, heads: &[Process], now: Instant) -> usize {
        let first = heads.first().and_then(|head| self.peers.get(head));
        let silent = first.is_some_and(|peer| peer.silence(now) > self.options.probe);
        1 + usize::from(silent)
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

    /// Compares with the next of the random peers.
    fn exchange(&mut self, now: Instant, out: &mut Vec<Command>) {
        let paced = self
            .exchanged
            .is_some_and(|at| now.saturating_duration_since(at) < self.options.exchange);
        let contacts = &self.structure.contacts;
        if paced || contacts.is_empty() {
            return;
        }
        self.turn = (self.turn + 1) % contacts.len();
        let contact = contacts[self.turn].clone();
        self.exchanged = Some(now);
        self.ping(&contact, now, out);
    }

    /// Probes neighbours that are silent, and suspects those whom nobody
    /// reaches. A node that hears nobody suspects itself rather than others.
    fn probe(&mut self, now: Instant, out: &mut Vec<Command>) {
        let limit = self.options.probe;
        let deaf = self.peers.values().all(|peer| peer.silence(now) > limit);
        let tree: Vec<Process> = self.structure.tree().cloned().collect();
        for process in tree {
            let silence = self.peer(&process, now).silence(now);
            if silence <= limit {
                continue;
            }
            self.ping_paced(&process, self.options.ping, now, out);
            self.relay(&process, now, out);
            if silence > self.options.suspect && !deaf {
                self.suspect(&process, now);
            }
        }
    }

    fn relay(&mut self, target: &Process, now: Instant, out: &mut Vec<Command>) {
        let every = self.options.ping;
        if self.peer(target, now).relayed_within(every, now) {
            return;
        }
        self.peer(target, now).relayed = Some(now);
        let others = self.structure.links().filter(|link| *link != target);
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

    /// Notes since when each child lacks the newest revision or is silent.
    fn judge_children(&mut self, now: Instant) {
        for child in self.structure.children.clone() {
            let (newest, probe) = (self.newest, self.options.probe);
            let peer = self.peer(&child, now);
            let lacks = peer.held < newest || peer.silence(now) > probe;
            peer.behind = match peer.behind {
                Some(since) if lacks => Some(since),
                None if lacks => Some(now),
                _ => None,
            };
        }
    }

    /// Counts, as the head, who holds and who lacks what.
    fn count(&mut self, now: Instant) {
        if !self.structure.is_head() {
            return;
        }
        let proved = self.census(now).in_force();
        self.in_force = self.in_force.max(proved.unwrap_or_default());
        let (lacking, laggards) = self.census(now).lacking();
        self.lacking = (lacking > 0).then_some((lacking, laggards, now));
    }

    /// Tells at once what others wait for: a changed report upwards, a newly
    /// proved revision downwards.
    fn tell(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.tell_report(now, out);
        if self.in_force > self.told_in_force {
            self.told_in_force = self.in_force;
            for child in self.structure.children.clone() {
                self.ping(&child, now, out);
            }
        }
    }

    fn tell_report(&mut self, now: Instant, out: &mut Vec<Command>) {
        let evidence = self.census(now).subtree().evidence;
        let told = self.told_report.map(|told| (told.lives, told.held));
        if told == Some((evidence.lives, evidence.held)) {
            return;
        }
        self.told_report = Some(evidence);
        let heads = self.structure.heads.iter().flat_map(|(_, heads)| heads);
        let readers = self.structure.parent.iter().chain(heads);
        let asked = readers.filter_map(|reader| {
            let stamp = self.peers.get(reader)?.asked?;
            Some((reader.clone(), stamp))
        });
        for (reader, stamp) in asked.collect::<Vec<_>>() {
            self.pong(&reader, stamp, now, out);
        }
    }

    /// Asks a peer for what the node has lacked for a while and was not sent.
    fn catch_up(&mut self, now: Instant, out: &mut Vec<Command>) {
        let (held, roster) = (self.log.held(), self.roster().through());
        let probe = self.options.probe;
        let ahead = self.peers.iter().filter(|(_, peer)| {
            let more = peer.held > held || peer.roster > roster;
            more && peer.silence(now) < probe
        });
        let source = ahead.map(|(process, _)| process).choose(&mut self.rng);
        let Some(source) = source.cloned() else {
            self.lagging = None;
            self.doubts.late = None;
            return;
        };
        let repeat = self.options.repeat;
        let since = *self.lagging.get_or_insert(now);
        let late = self.options.late;
        if self.doubts.late.is_none() && now.saturating_duration_since(since) >= late {
            self.doubts.late = Some(now + late.mul_f64(self.rng.random()));
        }
        let last = self.fetched.map_or(since, |fetched| fetched.max(since));
        if now.saturating_duration_since(last) >= repeat {
            self.fetch(&source, now, out);
        }
    }
}
