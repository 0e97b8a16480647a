//! Runs one policy on one trace, second by second.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_placement::{Count, Map, Planner, Rank, Report, State, bound, pack};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};

use crate::policy::{Policy, RATE};
use crate::result::Summary;
use crate::trace::{RANKS, SECONDS, SHAPE, SLOTS, Trace};

/// The steps of a second.
pub const STEPS: u32 = 222;
/// The bytes of an expert.
const BYTES: u64 = 44_000_000;
/// The seconds after an onset that do not count as calm.
pub const FIRST: u64 = 30;
/// The seconds after an onset after which even a swing of two minutes is over.
pub const SETTLED: u64 = 150;
/// By how much a rank is slower while it loads weights.
const LOADING: f64 = 0.05;
/// The seconds for which a switch holds up the group.
const SWITCH: f64 = 0.010;
/// The standard deviation of each expert's noise, and the part of it that
/// lasts from one second to the next.
const NOISE: f64 = 0.03;
const LASTING: f64 = 0.9;
/// The standard deviation of the busy time that a rank reports.
const JITTER: f64 = 0.05;
/// The parts of the reports that are lost and that come twice.
const LOST: f64 = 0.05;
const TWICE: f64 = 0.05;

/// A map on its way, the loads that it takes and the second it is ready.
struct Pending {
    map: Map,
    ready: u64,
}

struct Run<'a> {
    trace: &'a Trace,
    policy: Policy,
    planner: Planner,
    map: Map,
    states: Vec<State>,
    lives: Vec<u64>,
    noise: Vec<f64>,
    rng: StdRng,
    /// Reports on their way, with the second in which they arrive.
    reports: Vec<(u64, Report)>,
    pending: Option<Pending>,
    /// The seconds of loading that each rank has ahead of it.
    loading: Vec<f64>,
    start: Instant,
    summary: Summary,
}

/// Runs `policy` on `trace`.
pub fn run(trace: &Trace, policy: Policy) -> Summary {
    let map = pack::pack(SHAPE, &trace.rates(0), &trace.speeds(0), SLOTS);
    let mut run = Run {
        trace,
        policy,
        planner: policy.planner(),
        map: map.expect("slots suffice"),
        states: vec![State::Loaded; usize::from(RANKS)],
        lives: vec![1; usize::from(RANKS)],
        noise: vec![0.0; SHAPE.cells()],
        rng: StdRng::seed_from_u64(trace.seed + 1),
        reports: Vec::new(),
        pending: None,
        loading: vec![0.0; usize::from(RANKS)],
        start: clock::now(),
        summary: Summary::new(trace.kind, policy),
    };
    (0..SECONDS).for_each(|second| run.second(second));
    run.summary
}

impl Run<'_> {
    fn second(&mut self, second: u64) {
        self.fail(second);
        self.deliver(second);
        self.switch(second);
        if self.pending.is_none() {
            self.act(second);
        }
        let tokens = self.tokens(second);
        let speeds = self.speeds(second);
        self.send(second, &tokens, &speeds);
        self.measure(second, &tokens, &speeds);
    }

    /// Kills and replaces ranks. A plan made before is given up.
    fn fail(&mut self, second: u64) {
        for &(rank, death, back) in self.trace.deaths() {
            if second == death {
                self.states[rank] = State::Gone;
                self.pending = None;
            }
            if second == back {
                self.states[rank] = State::Empty;
                self.lives[rank] += 1;
            }
        }
    }

    fn deliver(&mut self, second: u64) {
        let now = self.start + Duration::from_secs(second);
        for (_, report) in self.reports.extract_if(.., |(due, _)| *due <= second) {
            // A report that came before is refused, as it should be.
            let _ = self.planner.observe(&report, now);
        }
    }

    fn switch(&mut self, second: u64) {
        if self.pending.as_ref().is_some_and(|p| p.ready <= second)
            && let Some(pending) = self.pending.take()
        {
            self.map = pending.map;
            self.summary.switches += 1;
            self.summary.disturbed += SWITCH * f64::from(STEPS);
            for (rank, state) in self.states.iter_mut().enumerate() {
                if *state == State::Empty && self.map.experts_on(Rank(rank as u16)).next().is_some()
                {
                    *state = State::Loaded;
                }
            }
        }
    }

    fn act(&mut self, second: u64) {
        let now = self.start + Duration::from_secs(second);
        let Some((map, loads, _)) =
            self.policy
                .act(&mut self.planner, &self.map, &self.states, second, now)
        else {
            return;
        };
        let each = BYTES as f64 / RATE as f64;
        for &rank in &loads {
            self.loading[usize::from(rank)] += each;
        }
        let time = each * loads.len() as f64;
        let ready = second + time.ceil().max(1.0) as u64;
        self.pending = Some(Pending { map, ready });
        self.summary.moves += loads.len() as u64;
        self.summary.bytes += BYTES * loads.len() as u64;
        self.summary.disturbed += time * f64::from(STEPS);
    }

    /// Returns the tokens per step that each expert is really given.
    fn tokens(&mut self, second: u64) -> Vec<f64> {
        let normal = Normal::new(0.0, 1.0).expect("the deviation is positive");
        let fresh = NOISE * (1.0 - LASTING * LASTING).sqrt();
        let mut tokens = self.trace.rates(second);
        for (rate, noise) in tokens.iter_mut().zip(&mut self.noise) {
            *noise = LASTING * *noise + fresh * normal.sample(&mut self.rng);
            let mean = *rate * noise.exp();
            let sampled = (mean / f64::from(STEPS)).sqrt() * normal.sample(&mut self.rng);
            *rate = (mean + sampled).max(0.0);
        }
        tokens
    }

    /// Returns the speed of each rank, zero for one that cannot compute.
    fn speeds(&self, second: u64) -> Vec<f64> {
        let mut speeds = self.trace.speeds(second);
        for (speed, state) in speeds.iter_mut().zip(&self.states) {
            if *state == State::Gone {
                *speed = 0.0;
            }
        }
        speeds
    }

    /// Puts the reports of this second on their way.
    fn send(&mut self, second: u64, tokens: &[f64], speeds: &[f64]) {
        let normal = Normal::new(1.0, JITTER).expect("the deviation is positive");
        let mut counts = vec![Vec::new(); usize::from(RANKS)];
        for ((cell, row), tokens) in self.map.cells().zip(tokens) {
            for replica in row {
                let tokens = tokens * f64::from(STEPS) * replica.share.fraction();
                let count = Count {
                    cell,
                    share: replica.share,
                    tokens: tokens.round() as u32,
                };
                counts[replica.rank.index()].push(count);
            }
        }
        for (rank, counts) in counts.into_iter().enumerate() {
            let jitter = normal.sample(&mut self.rng);
            let delay = self.rng.random_range(2..=4);
            let (lost, twice) = (self.rng.random_bool(LOST), self.rng.random_bool(TWICE));
            if self.states[rank] != State::Loaded || lost {
                continue;
            }
            let sum: u32 = counts.iter().map(|count| count.tokens).sum();
            let report = Report {
                rank: Rank(rank as u16),
                incarnation: Incarnation(self.lives[rank]),
                sequence: Sequence(second),
                first: Step(second * u64::from(STEPS)),
                steps: STEPS,
                busy: Duration::from_secs_f64(f64::from(sum) / speeds[rank] * jitter),
                counts,
            };
            if twice {
                self.reports.push((second + delay + 1, report.clone()));
            }
            self.reports.push((second + delay, report));
        }
    }

    fn measure(&mut self, second: u64, tokens: &[f64], speeds: &[f64]) {
        let busy: Vec<f64> = self
            .loading
            .iter()
            .map(|left| 1.0 + LOADING * left.min(1.0))
            .collect();
        self.loading
            .iter_mut()
            .for_each(|left| *left = (*left - 1.0).max(0.0));
        let total: f64 = speeds.iter().sum();
        let (mut slowest, mut ideal, mut least) = (0.0, 0.0, 0.0);
        let mut whole = vec![0.0; speeds.len()];
        let rows: Vec<_> = self.map.cells().map(|(_, row)| row).collect();
        for layer in 0..SHAPE.layers {
            let mut times = vec![0.0; speeds.len()];
            for at in SHAPE.layer(layer) {
                for replica in rows[at] {
                    let rank = replica.rank.index();
                    times[rank] +=
                        tokens[at] * replica.share.fraction() / speeds[rank] * busy[rank];
                }
            }
            slowest += times.iter().copied().fold(0.0, f64::max);
            whole
                .iter_mut()
                .zip(&times)
                .for_each(|(whole, time)| *whole += time);
            let tokens = &tokens[SHAPE.layer(layer)];
            ideal += tokens.iter().sum::<f64>() / total;
            least += bound::layer_time(tokens, speeds, SLOTS);
        }
        if !slowest.is_finite() {
            self.summary.stalled += 1;
            return;
        }
        let onsets = self.trace.onsets();
        let after = |first: u64| !onsets.iter().any(|&o| (o..o + first).contains(&second));
        let summary = &mut self.summary;
        summary.skew.record(slowest / ideal);
        summary.bound.record(least / ideal);
        let live = speeds.iter().filter(|&&speed| speed > 0.0).count() as f64;
        let busiest = whole.iter().copied().fold(0.0, f64::max);
        summary
            .whole
            .record(busiest * live / whole.iter().sum::<f64>());
        if after(SETTLED) {
            summary.settled.record(slowest / ideal);
        }
        if after(FIRST) {
            summary.calm.record(slowest / ideal);
            summary.over.record(slowest / least);
        }
    }
}
