//! Entries that share one group, with streams that arrive, wait and end by chance.

use cactusnotch_overload::allowance::{Allowance, ROUND};
use cactusnotch_overload::{Ceiling, Class, Occupancy, Reach};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Slots of a group of 72 ranks.
pub const SLOTS: u32 = 72 * 12;
pub const LIMIT: f64 = 0.6;
pub const RESERVE: f64 = 0.12;
/// Steps in a round, and in the shortest and longest stream.
pub const STEPS: usize = 10;
pub const STREAM: std::ops::Range<usize> = 52..77;
/// Steps that a request waits for room, about as long as a first attempt can.
pub const PATIENCE: usize = 14;

/// What the entries are told in place of the reported number of requests.
pub type Distort = fn(u32) -> u32;

#[derive(Clone, Default)]
pub struct Entry {
    pub allowance: Allowance,
    /// The remaining steps of running and of waiting requests.
    pub running: Vec<usize>,
    pub waiting: Vec<usize>,
    pub started: usize,
}

pub struct Load {
    pub entries: Vec<Entry>,
    pub rng: StdRng,
    pub limit: f64,
    pub distort: Distort,
    /// The requests of each entry when the last reports were made.
    pub reported: Vec<u32>,
}

pub fn number(value: usize) -> u32 {
    u32::try_from(value).expect("a small number")
}

impl Load {
    pub fn new(entries: usize) -> Self {
        Self {
            entries: vec![Entry::default(); entries],
            rng: StdRng::seed_from_u64(7),
            limit: LIMIT,
            distort: |requests| requests,
            reported: vec![0; entries],
        }
    }

    /// Runs one round in which each entry for which `rate` is positive gets that many
    /// requests per step on average; returns the greatest and the last number of running
    /// requests per slot.
    pub fn round(&mut self, class: Class, rate: impl Fn(usize) -> f64) -> (f64, f64) {
        self.renew();
        self.reported = self.entries.iter().map(Entry::own).collect();
        let mut most = 0.0_f64;
        for _ in 0..STEPS {
            for (at, entry) in self.entries.iter_mut().enumerate() {
                entry.step(class, rate(at), &mut self.rng);
            }
            most = most.max(self.fill());
        }
        (most, self.fill())
    }

    pub fn renew(&mut self) {
        let total: u32 = self.reported.iter().sum();
        let sharers = number(self.entries.len());
        for (entry, reported) in self.entries.iter_mut().zip(&self.reported) {
            let occupancy = Occupancy {
                own: entry.own(),
                others: (self.distort)(total).saturating_sub(*reported),
                slots: SLOTS,
                sharers,
                age: ROUND,
            };
            let limit = Ceiling::new(self.limit);
            entry
                .allowance
                .renew(&occupancy, limit, RESERVE, &mut self.rng);
        }
    }

    pub fn started(&self, of: impl Fn(usize) -> bool) -> usize {
        let chosen = (0..self.entries.len()).filter(|&at| of(at));
        chosen.map(|at| self.entries[at].started).sum()
    }

    pub fn fill(&self) -> f64 {
        let running: u32 = self.entries.iter().map(Entry::own).sum();
        f64::from(running) / f64::from(SLOTS)
    }

    /// Runs rounds with the same rate at all entries; returns the greatest fill and the mean
    /// one.
    pub fn rounds(&mut self, rounds: u32, rate: f64) -> (f64, f64) {
        let (mut most, mut sum) = (0.0_f64, 0.0);
        for _ in 0..rounds {
            let (peak, last) = self.round(Class::default(), |_| rate);
            most = most.max(peak);
            sum += last;
        }
        (most, sum / f64::from(rounds))
    }
}

impl Entry {
    pub fn own(&self) -> u32 {
        number(self.running.len())
    }

    pub fn step(&mut self, class: Class, rate: f64, rng: &mut StdRng) {
        for left in self.running.iter_mut().chain(&mut self.waiting) {
            *left -= 1;
        }
        self.running.retain(|left| *left > 0);
        self.waiting.retain(|left| *left > 0);
        let mut arrivals = rate;
        while arrivals > 0.0 {
            if rng.random_bool(arrivals.min(1.0)) {
                self.waiting.push(PATIENCE);
            }
            arrivals -= 1.0;
        }
        while !self.waiting.is_empty() && self.allowance.room(Reach::Class(class), self.own()) > 0 {
            self.waiting.remove(0);
            self.running.push(rng.random_range(STREAM));
            self.allowance.record_start();
            self.started += 1;
        }
        if !self.waiting.is_empty() {
            self.allowance.record_shortage();
        }
    }
}
