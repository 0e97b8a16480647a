//! The CPU time and memory of the planner by the number of ranks.
//!
//! The planner runs in one thread without waiting, so its run time equals its
//! CPU time, or exceeds it on a busy machine.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_placement::{
    Budget, Count, Map, Options, Planner, Rank, Report, State, Weights, pack,
};
use hdrhistogram::Histogram;

use crate::policy::{INTERVAL, RATE};
use crate::simulation::STEPS;
use crate::trace::{Kind, RANKS, SEED, SHAPE, SPEED, Trace};

/// The number of ranks of each group, and the experts per layer of each rank.
const GROUPS: [(u16, usize); 3] = [(16, 6), (64, 2), (256, 2)];
/// The seconds of the trace that are run, around the onset of the dispute wave.
const SECONDS: std::ops::Range<u64> = 860..1_060;

/// Prints the table.
pub fn print() {
    println!("### CPU and memory of the planner\n");
    println!(
        "| ranks | slots | map, bytes of CBOR | report p50, us | plan p50, ms | p99 | \
         max | share of a core | peak memory growth, MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (ranks, slots) in GROUPS {
        let before = peak_memory_kb();
        let run = Run::new(ranks, slots).execute();
        let grown = (peak_memory_kb() - before) as f64 / 1_024.0;
        println!("| {ranks} | {slots} | {} | {grown:.1} |", run.row());
    }
}

struct Run {
    options: Options,
    planner: Planner,
    map: Map,
    speeds: Vec<f64>,
    reports: Histogram<u64>,
    plans: Histogram<u64>,
    busy: Duration,
}

impl Run {
    fn new(ranks: u16, slots: usize) -> Self {
        let options = Options::new(SHAPE, ranks, slots);
        let speeds = vec![SPEED; usize::from(ranks)];
        let rates = Trace::new(Kind::DisputeWave, SEED).rates(0);
        let record = || Histogram::new(3).expect("three digits are allowed");
        Self {
            planner: Planner::new(options),
            map: pack::map(SHAPE, &rates, &speeds, slots).expect("slots suffice"),
            options,
            speeds,
            reports: record(),
            plans: record(),
            busy: Duration::ZERO,
        }
    }

    fn execute(mut self) -> Self {
        let trace = Trace::new(Kind::DisputeWave, SEED);
        let start = clock::now();
        let states = vec![State::Loaded; self.speeds.len()];
        let budget = Budget {
            rate: RATE,
            interval: INTERVAL,
        };
        for second in SECONDS {
            let now = start + Duration::from_secs(second);
            self.observe(&trace.rates(second), second, now);
            if !second.is_multiple_of(INTERVAL.as_secs()) {
                continue;
            }
            let before = clock::now();
            let weights = Weights::SKEW_FIRST;
            let plan = self
                .planner
                .plan(&self.map, &states, &weights, &budget, now);
            let spent = before.elapsed();
            self.busy += spent;
            record(&mut self.plans, spent);
            if let Some(plan) = plan.expect("slots suffice") {
                self.map = plan.map().expect("a whole plan is valid");
            }
        }
        self
    }

    fn observe(&mut self, rates: &[f64], second: u64, now: Instant) {
        for rank in 0..self.options.ranks {
            let report = self.report(Rank(rank), rates, second);
            let before = clock::now();
            self.planner.observe(&report, now).expect("a new report");
            let spent = before.elapsed();
            self.busy += spent;
            record(&mut self.reports, spent);
        }
    }

    fn report(&self, rank: Rank, rates: &[f64], second: u64) -> Report {
        let scale = f64::from(self.options.ranks) / f64::from(RANKS) * f64::from(STEPS);
        let mut counts = Vec::new();
        for ((cell, row), rate) in self.map.cells().zip(rates) {
            if let Some(replica) = row.iter().find(|replica| replica.rank == rank) {
                let tokens = (rate * scale * replica.share.fraction()).round() as u32;
                counts.push(Count {
                    cell,
                    share: replica.share,
                    tokens,
                });
            }
        }
        let sum: u32 = counts.iter().map(|count| count.tokens).sum();
        Report {
            rank,
            incarnation: Incarnation(1),
            sequence: Sequence(second),
            first: Step(second * u64::from(STEPS)),
            steps: STEPS,
            busy: Duration::from_secs_f64(f64::from(sum) / SPEED),
            counts,
        }
    }

    fn row(&self) -> String {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self.map, &mut bytes).expect("a map can be written");
        let milliseconds = |quantile| self.plans.value_at_quantile(quantile) as f64 / 1e6;
        let seconds = (SECONDS.end - SECONDS.start) as f64;
        format!(
            "{} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2}%",
            bytes.len(),
            self.reports.value_at_quantile(0.5) as f64 / 1e3,
            milliseconds(0.5),
            milliseconds(0.99),
            milliseconds(1.0),
            100.0 * self.busy.as_secs_f64() / seconds,
        )
    }
}

fn record(histogram: &mut Histogram<u64>, spent: Duration) {
    let nanoseconds = u64::try_from(spent.as_nanos()).unwrap_or(u64::MAX);
    histogram.record(nanoseconds).expect("the histogram grows");
}

/// Returns the peak resident memory of the process in kilobytes.
fn peak_memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
