//! The group's state: which step it takes and what each rank does in it.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Incarnation, Step};
use cactusnotch_derive::record;
use cactusnotch_placement::{Map, Rank};
use cactusnotch_switch::map::{Map as Name, Switch};

use super::Options;
use super::rank::{Fate, Memory};
use super::reports::{Reports, Share, replica_tokens};
use super::traffic::{self, Hot};

/// The number of steps of which the log and the times are kept.
const KEPT: usize = 1 << 16;

/// A step that a rank started.
#[record]
#[derive(Copy)]
pub struct Entry {
    /// The life of the rank.
    pub life: Incarnation,
    /// The step.
    pub step: Step,
    /// The map that the rank used.
    pub map: Name,
}

/// A step that the group finished.
#[record]
pub struct Taken {
    /// The step.
    pub step: Step,
    /// The map that the first rank used.
    pub map: Name,
    /// How long each rank computed.
    pub busy: Vec<Duration>,
    /// The time from the end of the step before to the end of this one.
    pub wall: Duration,
}

impl Taken {
    /// Returns the time of the slowest rank.
    #[must_use]
    pub fn max(&self) -> Duration {
        self.busy.iter().copied().max().unwrap_or_default()
    }

    /// Returns the mean time of the ranks.
    #[must_use]
    pub fn mean(&self) -> Duration {
        let ranks = u32::try_from(self.busy.len()).unwrap_or(u32::MAX).max(1);
        self.busy.iter().sum::<Duration>() / ranks
    }
}

/// One rank with what it leaves behind.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) memory: Memory,
    pub(crate) fate: Fate,
    pub(crate) reports: Reports,
    pub(crate) log: VecDeque<Entry>,
}

/// What the steps, the loaders and the calls share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) state: Mutex<State>,
    pub(crate) changed: Condvar,
}

/// The ranks and the steps taken.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) members: Vec<Member>,
    pub(crate) step: Step,
    pub(crate) ended: Instant,
    pub(crate) taken: VecDeque<Taken>,
    pub(crate) mixed: Vec<Step>,
    pub(crate) hot: Vec<Hot>,
    pub(crate) stopped: bool,
}

impl Member {
    fn new(options: &Options, rank: Rank) -> Self {
        let mut memory = Memory::new(rank, options.capacity, options.fencing);
        match &options.initial {
            Some((epoch, map)) => {
                let name = Name {
                    epoch: *epoch,
                    digest: map.digest(),
                };
                let from = Step(0);
                memory.install(Switch { map: name, from }, map);
            }
            None => memory.state.holds.push(Step(0)),
        }
        Self {
            memory,
            fate: Fate {
                alive: true,
                stalled: None,
                slowness: 1.0,
            },
            reports: Reports::new(&options.reporting, options.seed + u64::from(rank.0)),
            log: VecDeque::new(),
        }
    }

    /// Puts an empty process in the rank's place.
    pub(crate) fn replace(&mut self, options: &Options, next: Step) {
        self.memory = self.memory.replacement(next);
        let seed = options.seed + u64::from(self.memory.rank.0) + (self.memory.state.life << 16);
        self.reports = Reports::new(&options.reporting, seed);
        self.fate = Fate {
            alive: true,
            stalled: None,
            slowness: 1.0,
        };
    }

    fn has_started(&self, step: Step) -> bool {
        self.fate.alive && self.memory.state.next > step
    }

    fn try_start(&mut self, step: Step, now: Instant) {
        let stalled = self.fate.stalled.is_some_and(|until| until > now);
        if !self.fate.alive || stalled || self.has_started(step) {
            return;
        }
        let Some(map) = self.memory.ready() else {
            return;
        };
        self.memory.start();
        if self.log.len() == KEPT {
            self.log.pop_front();
        }
        let life = Incarnation(self.memory.state.life);
        self.log.push_back(Entry { life, step, map });
    }

    fn used(&self) -> Option<(Name, &Map)> {
        let name = self.log.back()?.map;
        Some((name, self.memory.maps.get(&name)?))
    }

    /// Returns how long the rank computes in a step with these counts.
    fn busy(&self, options: &Options, counts: &[u32]) -> Duration {
        let Some((_, map)) = self.used() else {
            return Duration::ZERO;
        };
        let rank = self.memory.rank;
        let tokens: u32 = map
            .cells()
            .flat_map(|(cell, row)| row.iter().map(move |replica| (cell, *replica)))
            .filter(|(_, replica)| replica.rank == rank)
            .map(|(cell, replica)| replica_tokens(map, counts, cell, replica.share))
            .sum();
        (options.step + options.per_token * tokens).mul_f64(self.fate.slowness)
    }

    fn report(&mut self, step: Step, counts: &[u32], busy: Duration, now: Instant) {
        let Some(name) = self.log.back().map(|entry| entry.map) else {
            return;
        };
        let Some(map) = self.memory.maps.get(&name) else {
            return;
        };
        let share = Share {
            rank: self.memory.rank,
            life: Incarnation(self.memory.state.life),
            step,
            name,
            map,
            counts,
            busy,
        };
        self.reports.add(&share, now);
    }
}

impl State {
    fn new(options: &Options) -> Self {
        let ranks = 0..u16::try_from(options.addresses.len()).unwrap_or(u16::MAX);
        Self {
            members: ranks.map(|rank| Member::new(options, Rank(rank))).collect(),
            step: Step(0),
            ended: clock::now(),
            taken: VecDeque::new(),
            mixed: Vec::new(),
            hot: Vec::new(),
            stopped: false,
        }
    }

    /// Starts the step on each rank that can, and tells whether all have.
    pub(crate) fn start(&mut self, now: Instant) -> bool {
        let step = self.step;
        for member in &mut self.members {
            member.try_start(step, now);
        }
        self.all_started()
    }

    pub(crate) fn all_started(&self) -> bool {
        let step = self.step;
        self.members.iter().all(|member| member.has_started(step))
    }

    /// Returns when the stalls of now have ended.
    pub(crate) fn stalled_until(&self, now: Instant) -> Option<Instant> {
        let stalls = self.members.iter().filter_map(|member| member.fate.stalled);
        stalls.filter(|until| *until > now).max()
    }

    /// Returns the tokens of each expert in the step.
    pub(crate) fn counts(&self, options: &Options) -> Vec<u32> {
        let Options { traffic, seed, .. } = options;
        traffic::counts(traffic, options.shape, *seed, self.step, &self.hot)
    }

    /// Returns how long each rank computes in the step.
    pub(crate) fn busy(&self, options: &Options, counts: &[u32]) -> Vec<Duration> {
        let members = self.members.iter();
        members.map(|member| member.busy(options, counts)).collect()
    }

    /// Ends the step.
    pub(crate) fn finish(&mut self, counts: &[u32], busy: Vec<Duration>, now: Instant) {
        let step = self.step;
        for (member, busy) in self.members.iter_mut().zip(&busy) {
            member.report(step, counts, *busy, now);
        }
        let mut used = self.members.iter().filter_map(|member| member.log.back());
        if let Some(first) = used.next().copied() {
            if used.any(|entry| entry.map != first.map) {
                self.mixed.push(step);
            }
            let wall = now.duration_since(self.ended);
            self.record(Taken {
                step,
                map: first.map,
                busy,
                wall,
            });
        }
        self.ended = now;
        self.step = step.next();
    }

    fn record(&mut self, taken: Taken) {
        if self.taken.len() == KEPT {
            self.taken.pop_front();
        }
        self.taken.push_back(taken);
    }
}

impl Core {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            options: options.clone(),
            state: Mutex::new(State::new(options)),
            changed: Condvar::new(),
        }
    }
}
