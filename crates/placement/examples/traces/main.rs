//! Runs every placement policy on the same seeded traces and prints tables of
//! skew and cost.
//!
//! `cargo run --release -p cactusnotch-placement --example traces` also writes
//! the chart to `docs/charts/skew-cost.svg`. Arguments name the traces to run,
//! or `planner` for the planner's cost; with arguments, no chart is drawn.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers of the traces are small"
)]

mod chart;
mod effort;
mod policy;
mod result;
mod simulation;
mod table;
mod trace;

use policy::Policy;
use result::Summary;
use trace::{SEED, Trace};

/// The number of policies that run in parallel.
const THREADS: usize = 4;
/// The path of the chart.
const CHART: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/charts/skew-cost.svg"
);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let names: Vec<String> = std::env::args().skip(1).collect();
    let chosen = |name: &str| names.is_empty() || names.iter().any(|other| other == name);
    if chosen("planner") {
        effort::print();
    }
    let mut summaries: Vec<Summary> = Vec::new();
    for kind in trace::Kind::ALL {
        if chosen(kind.name()) {
            let group = run(&Trace::new(kind, SEED));
            table::print(kind, &group);
            summaries.extend(group);
        }
    }
    if names.is_empty() {
        table::print_totals(&summaries);
        chart::draw(std::path::Path::new(CHART), &summaries)?;
    }
    Ok(())
}

/// Runs all policies on one trace, [`THREADS`] at a time.
fn run(trace: &Trace) -> Vec<Summary> {
    let mut summaries = Vec::new();
    for policies in Policy::ALL.chunks(THREADS) {
        summaries.extend(std::thread::scope(|scope| {
            let start = |&policy| scope.spawn(move || simulation::run(trace, policy));
            let runs: Vec<_> = policies.iter().map(start).collect();
            let ends = runs.into_iter().map(std::thread::ScopedJoinHandle::join);
            ends.map(|end| end.expect("no run panics"))
                .collect::<Vec<_>>()
        }));
    }
    summaries
}
