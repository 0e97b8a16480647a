//! Reachability of processes.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::record;

use crate::options::Options;
use crate::record::Record;
use crate::roster::{Roster, Row};
use crate::rumour::{Instance, Rumour, Status};

/// The maximum number of rumours in one message, besides those about its
/// receiver.
const RUMOURS_PER_MESSAGE: usize = 4;

/// How many messages carry a rumour, in addition to two for each doubling of the
/// number of members.
const TRANSMISSIONS_MIN: u32 = 6;

/// The state of a process that was suspected or restarted.
#[record]
#[derive(Copy)]
pub struct Health {
    /// The latest known instance.
    pub instance: Instance,
    /// Whether the process can be reached.
    pub status: Status,
    /// When the status was set, on this process's clock.
    pub since: Instant,
    transmissions: u32,
}

/// The reachability of processes as observed by this process and its peers.
///
/// It selects communication partners. It never transfers exclusive rights, and
/// removes no process from the roster by itself.
#[derive(Debug)]
pub struct Liveness {
    options: Options,
    own: Process,
    instance: Instance,
    later: Option<Incarnation>,
    healths: Table<Process, Health>,
    generation: u64,
    transmissions: u32,
    cursor: usize,
}

impl Liveness {
    /// Creates the view of process `own`, in which all processes are alive.
    #[must_use]
    pub fn new(options: Options, own: Process, incarnation: Incarnation) -> Self {
        let instance = initial(incarnation);
        Self {
            options,
            own,
            instance,
            later: None,
            healths: Table::new(),
            generation: 0,
            transmissions: TRANSMISSIONS_MIN,
            cursor: 0,
        }
    }

    /// Returns the process's own instance.
    #[must_use]
    pub const fn instance(&self) -> Instance {
        self.instance
    }

    /// Sets a larger incarnation, as determined when the record was written, and
    /// announces it.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, now: Instant) {
        if incarnation > self.instance.incarnation {
            self.instance = initial(incarnation);
        }
        self.later = self
            .later
            .filter(|later| *later > self.instance.incarnation);
        self.announce(now);
    }

    /// Schedules a rumour that this process is alive.
    pub fn announce(&mut self, now: Instant) {
        let own = self.own.clone();
        self.set(own, self.instance, Status::Alive, now);
    }

    /// Returns the later incarnation of the same name, if one is known.
    #[must_use]
    pub const fn later_incarnation(&self) -> Option<Incarnation> {
        self.later
    }

    /// Returns a number that increases whenever a process starts or stops
    /// counting as dead.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether `process` can be reached.
    #[must_use]
    pub fn status(&self, process: &Process) -> Status {
        let health = self.healths.get(process);
        health.map_or(Status::Alive, |health| health.status)
    }

    /// Returns the state of `process`, if it was suspected or restarted.
    #[must_use]
    pub fn health(&self, process: &Process) -> Option<&Health> {
        self.healths.get(process)
    }

    /// Suspects `process`, which could not be reached; `incarnation` is that
    /// of its record.
    pub fn suspect(&mut self, process: &Process, incarnation: Incarnation, now: Instant) {
        let roster = initial(incarnation);
        let known = self.healths.get(process);
        let instance = known.map_or(roster, |health| health.instance.max(roster));
        let status = known.filter(|health| health.instance == instance);
        if status.is_none_or(|health| health.status == Status::Alive) {
            self.set(process.clone(), instance, Status::Suspect, now);
        }
    }

    /// Applies a rumour about a member of `roster`. A rumour that this process is
    /// unreachable is refuted.
    pub fn apply(&mut self, rumour: &Rumour, roster: &Roster, now: Instant) {
        if rumour.process == self.own {
            self.apply_own(rumour, now);
            return;
        }
        let Some(record) = roster.get(&rumour.process) else {
            return;
        };
        let known = self.healths.get(&rumour.process);
        let (instance, status) = known.map_or_else(
            || (initial(record.incarnation), Status::Alive),
            |health| (health.instance, health.status),
        );
        let (reported, known) = ((rumour.instance, rumour.status), (instance, status));
        if reported > known {
            self.set(rumour.process.clone(), rumour.instance, rumour.status, now);
        } else if reported < known {
            self.requeue(&rumour.process);
        }
    }

    /// Schedules the rumour about `process` again, since a peer has missed it.
    fn requeue(&mut self, process: &Process) {
        let transmissions = self.transmissions;
        if let Some(health) = self.healths.get_mut(process) {
            health.transmissions = transmissions;
        }
    }

    fn apply_own(&mut self, rumour: &Rumour, now: Instant) {
        if rumour.instance.incarnation > self.instance.incarnation {
            self.later = self.later.max(Some(rumour.instance.incarnation));
        } else if rumour.status != Status::Alive {
            if rumour.instance >= self.instance {
                self.instance.refuted = rumour.instance.refuted + 1;
            }
            self.announce(now);
        }
    }

    /// Marks suspects that did not refute in time as dead, and drops the state of
    /// processes that left `roster` or are on it with a later incarnation.
    pub fn tick(&mut self, roster: &Roster, now: Instant) {
        let refute = self.options.refute_timeout;
        let (mut died, mut revived) = (Vec::new(), 0);
        self.healths.retain(|process, health| {
            let late = now.saturating_duration_since(health.since) >= refute;
            if late && health.status == Status::Suspect {
                died.push((process.clone(), health.instance));
            }
            let known = roster.get(process).map(|record| record.incarnation);
            let keep = match known {
                Some(incarnation) => {
                    let is_sent = health.transmissions == 0 && health.status == Status::Alive;
                    let is_default = is_sent && health.instance == initial(incarnation);
                    incarnation <= health.instance.incarnation && !is_default
                }
                None => *process == self.own,
            };
            revived += u64::from(!keep && health.status == Status::Dead);
            keep
        });
        self.generation += revived;
        self.transmissions = TRANSMISSIONS_MIN + 2 * roster.len().max(1).ilog2();
        for (process, instance) in died {
            if self.healths.contains(&process) {
                self.set(process, instance, Status::Dead, now);
            }
        }
    }

    fn set(&mut self, process: Process, instance: Instance, status: Status, now: Instant) {
        let health = Health {
            instance,
            status,
            since: now,
            transmissions: self.transmissions,
        };
        let before = self.healths.insert(process, health);
        let was_dead = before.is_some_and(|before| before.status == Status::Dead);
        if was_dead != (status == Status::Dead) {
            self.generation += 1;
        }
    }

    /// Returns the rumours to send with a message to `peer`. A suspicion of `peer`
    /// itself is always included so that it can refute it. If nothing else is
    /// due, suspicions of other processes are repeated in turn, so that a peer
    /// with newer information can correct them.
    pub fn rumours(&mut self, peer: &Process) -> Vec<Rumour> {
        let mut chosen = Vec::new();
        for (process, health) in self.healths.iter_mut() {
            let is_accused = process == peer && health.status != Status::Alive;
            if is_accused || (health.transmissions > 0 && chosen.len() < RUMOURS_PER_MESSAGE) {
                health.transmissions = health.transmissions.saturating_sub(1);
                chosen.push(rumour(process, health));
            }
        }
        if chosen.is_empty() {
            chosen.extend(self.next_unreachable());
        }
        chosen
    }

    fn next_unreachable(&mut self) -> Option<Rumour> {
        self.cursor = self.cursor.wrapping_add(1);
        let rows = || self.healths.iter();
        let unreachable = || rows().filter(|(_, health)| health.status != Status::Alive);
        let at = self.cursor.checked_rem(unreachable().count())?;
        let (process, health) = unreachable().nth(at)?;
        Some(rumour(process, health))
    }

    /// Returns the members of `roster` that satisfy `ours` and have counted as dead
    /// for the expiry time; none if they exceed the share that may expire.
    #[must_use]
    pub fn expired<'a>(
        &self,
        roster: &'a Roster,
        ours: impl Fn(&Record) -> bool,
        now: Instant,
    ) -> Vec<&'a Row> {
        let members = roster.iter().filter(|record| ours(record)).count();
        let dead = self.healths.iter().filter(|(_, health)| {
            let long = now.saturating_duration_since(health.since) >= self.options.expiry;
            health.status == Status::Dead && long
        });
        let rows = dead.filter_map(|(process, _)| roster.row(process));
        let rows: Vec<&Row> = rows.filter(|row| ours(&row.record)).collect();
        if rows.len() * 100 > members * self.options.expiry_percent {
            return Vec::new();
        }
        rows
    }
}

fn rumour(process: &Process, health: &Health) -> Rumour {
    Rumour {
        process: process.clone(),
        instance: health.instance,
        status: health.status,
    }
}

/// Returns the instance of a record, without refutations.
const fn initial(incarnation: Incarnation) -> Instance {
    Instance {
        incarnation,
        refuted: 0,
    }
}
