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

/// The number of steps per second.
pub const STEPS: u32 = 222;
/// The size of an expert's weights in bytes.
const EXPERT_BYTES: u64 = 44_000_000;
/// The seconds after an onset that are left out of `after_onset`.
pub const ONSET_SECONDS: u64 = 30;
/// The seconds after an onset that are left out of `settled`; a demand shift of
/// two minutes has ended by then.
pub const SETTLED_SECONDS: u64 = 150;
/// The relative slowdown of a rank while it loads weights.
const LOADING_SLOWDOWN: f64 = 0.05;
/// The seconds for which a switch stalls the group.
const SWITCH_SECONDS: f64 = 0.010;
/// The standard deviation of each expert's noise.
const NOISE_DEVIATION: f64 = 0.03;
/// The correlation of the noise from one second to the next.
const NOISE_CORRELATION: f64 = 0.9;
/// The relative standard deviation of the busy time that a rank reports.
const BUSY_DEVIATION: f64 = 0.05;
/// The fraction of reports that are lost.
const LOSS_RATE: f64 = 0.05;
/// The fraction of reports that are delivered twice.
const DUPLICATE_RATE: f64 = 0.05;

/// A map whose experts are being loaded, and the second in which it is ready.
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
    incarnations: Vec<u64>,
    noise: Vec<f64>,
    rng: StdRng,
    /// Reports in flight, with the second in which they arrive.
    reports: Vec<(u64, Report)>,
    pending: Option<Pending>,
    /// The remaining seconds of loading of each rank.
    loading: Vec<f64>,
    start: Instant,
    summary: Summary,
}

/// Runs `policy` on `trace`.
pub fn run(trace: &Trace, policy: Policy) -> Summary {
    let map = pack::map(SHAPE, &trace.rates(0), &trace.speeds(0), SLOTS);
    let mut run = Run {
        trace,
        policy,
        planner: policy.planner(),
        map: map.expect("slots suffice"),
        states: vec![State::Loaded; usize::from(RANKS)],
        incarnations: vec![1; usize::from(RANKS)],
        noise: vec![0.0; SHAPE.cells()],
        rng: StdRng::seed_from_u64(trace.seed + 1),
        reports: Vec::new(),
        pending: None,
        loading: vec![0.0; usize::from(RANKS)],
        start: clock::now(),
        summary: Summary::new(trace.kind, policy),
    };
    (0..SECONDS).for_each(|second| run.run_second(second));
    run.summary
}

impl Run<'_> {
    fn run_second(&mut self, second: u64) {
        self.apply_failures(second);
        self.deliver_reports(second);
        self.apply_pending(second);
        if self.pending.is_none() {
            self.decide(second);
        }
        let tokens = self.tokens(second);
        let speeds = self.speeds(second);
        self.send_reports(second, &tokens, &speeds);
        self.measure(second, &tokens, &speeds);
    }

    /// Crashes and replaces ranks. A crash discards the pending plan.
    fn apply_failures(&mut self, second: u64) {
        for &(rank, crash, replaced) in self.trace.failures() {
            if second == crash {
                self.states[rank] = State::Gone;
                self.pending = None;
            }
            if second == replaced {
                self.states[rank] = State::Empty;
                self.incarnations[rank] += 1;
            }
        }
    }

    fn deliver_reports(&mut self, second: u64) {
        let now = self.start + Duration::from_secs(second);
        for (_, report) in self.reports.extract_if(.., |(due, _)| *due <= second) {
            // Duplicate reports are refused by design.
            let _ = self.planner.observe(&report, now);
        }
    }

    fn apply_pending(&mut self, second: u64) {
        if self.pending.as_ref().is_some_and(|p| p.ready <= second)
            && let Some(pending) = self.pending.take()
        {
            self.map = pending.map;
            self.summary.switches += 1;
            self.summary.disturbed += SWITCH_SECONDS * f64::from(STEPS);
            for (rank, state) in self.states.iter_mut().enumerate() {
                if *state == State::Empty && self.map.experts_on(Rank(rank as u16)).next().is_some()
                {
                    *state = State::Loaded;
                }
            }
        }
    }

    fn decide(&mut self, second: u64) {
        let now = self.start + Duration::from_secs(second);
        let Some((map, loads, _)) =
            self.policy
                .decide(&mut self.planner, &self.map, &self.states, second, now)
        else {
            return;
        };
        let each = EXPERT_BYTES as f64 / RATE as f64;
        for &rank in &loads {
            self.loading[usize::from(rank)] += each;
        }
        let time = each * loads.len() as f64;
        let ready = second + time.ceil().max(1.0) as u64;
        self.pending = Some(Pending { map, ready });
        self.summary.moves += loads.len() as u64;
        self.summary.bytes += EXPERT_BYTES * loads.len() as u64;
        self.summary.disturbed += time * f64::from(STEPS);
    }

    /// Returns the true tokens per step of each expert, with noise.
    fn tokens(&mut self, second: u64) -> Vec<f64> {
        let normal = Normal::new(0.0, 1.0).expect("the deviation is positive");
        let fresh = NOISE_DEVIATION * (1.0 - NOISE_CORRELATION * NOISE_CORRELATION).sqrt();
        let mut tokens = self.trace.rates(second);
        for (rate, noise) in tokens.iter_mut().zip(&mut self.noise) {
            *noise = NOISE_CORRELATION * *noise + fresh * normal.sample(&mut self.rng);
            let mean = *rate * noise.exp();
            let sampled = (mean / f64::from(STEPS)).sqrt() * normal.sample(&mut self.rng);
            *rate = (mean + sampled).max(0.0);
        }
        tokens
    }

    /// Returns the speed of each rank, zero for a crashed one.
    fn speeds(&self, second: u64) -> Vec<f64> {
        let mut speeds = self.trace.speeds(second);
        for (speed, state) in speeds.iter_mut().zip(&self.states) {
            if *state == State::Gone {
                *speed = 0.0;
            }
        }
        speeds
    }

    /// Sends the reports of this second.
    fn send_reports(&mut self, second: u64, tokens: &[f64], speeds: &[f64]) {
        let normal = Normal::new(1.0, BUSY_DEVIATION).expect("the deviation is positive");
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
            let (lost, duplicated) = (
                self.rng.random_bool(LOSS_RATE),
                self.rng.random_bool(DUPLICATE_RATE),
            );
            if self.states[rank] != State::Loaded || lost {
                continue;
            }
            let sum: u32 = counts.iter().map(|count| count.tokens).sum();
            let report = Report {
                rank: Rank(rank as u16),
                incarnation: Incarnation(self.incarnations[rank]),
                sequence: Sequence(second),
                first: Step(second * u64::from(STEPS)),
                steps: STEPS,
                busy: Duration::from_secs_f64(f64::from(sum) / speeds[rank] * jitter),
                counts,
            };
            if duplicated {
                self.reports.push((second + delay + 1, report.clone()));
            }
            self.reports.push((second + delay, report));
        }
    }

    fn measure(&mut self, second: u64, tokens: &[f64], speeds: &[f64]) {
        let busy: Vec<f64> = self
            .loading
            .iter()
            .map(|left| 1.0 + LOADING_SLOWDOWN * left.min(1.0))
            .collect();
        self.loading
            .iter_mut()
            .for_each(|left| *left = (*left - 1.0).max(0.0));
        let total: f64 = speeds.iter().sum();
        let (mut slowest, mut ideal, mut lower_bound) = (0.0, 0.0, 0.0);
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
            lower_bound += bound::layer_time(tokens, speeds, SLOTS);
        }
        if !slowest.is_finite() {
            self.summary.stalled += 1;
            return;
        }
        let onsets = self.trace.onsets();
        let after = |first: u64| !onsets.iter().any(|&o| (o..o + first).contains(&second));
        let summary = &mut self.summary;
        summary.skew.record(slowest / ideal);
        summary.bound.record(lower_bound / ideal);
        let live = speeds.iter().filter(|&&speed| speed > 0.0).count() as f64;
        let busiest = whole.iter().copied().fold(0.0, f64::max);
        summary
            .step_skew
            .record(busiest * live / whole.iter().sum::<f64>());
        if after(SETTLED_SECONDS) {
            summary.settled.record(slowest / ideal);
        }
        if after(ONSET_SECONDS) {
            summary.after_onset.record(slowest / ideal);
            summary.over_bound.record(slowest / lower_bound);
        }
    }
}
