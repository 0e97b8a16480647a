//! Runs every placement policy on the same seeded traces and prints tables of
//! skew and cost.
//!
//! `cargo run --release -p cactusnotch-placement --example traces` also writes
//! the chart to `docs/charts/skew-cost.svg`.
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

/// The chart, from the root of the repository.
const CHART: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/charts/skew-cost.svg"
);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let only: Vec<String> = std::env::args().skip(1).collect();
    if only.is_empty() || only.iter().any(|name| name == "planner") {
        effort::print();
    }
    let chosen = |name: &str| only.is_empty() || only.iter().any(|other| other == name);
    let policies: Vec<Policy> = Policy::ALL
        .into_iter()
        .filter(|policy| {
            !only.iter().any(|name| name.starts_with('='))
                || only.contains(&format!("={}", policy.name()))
        })
        .collect();
    let mut summaries: Vec<Summary> = Vec::new();
    for kind in trace::Kind::ALL
        .into_iter()
        .filter(|kind| chosen(kind.name()))
    {
        let group = run(&Trace::new(kind, SEED), &policies);
        table::print(kind, &group);
        summaries.extend(group);
    }
    table::print_totals(&summaries);
    if only.is_empty() {
        chart::draw(std::path::Path::new(CHART), &summaries)?;
    }
    Ok(())
}

/// Runs the policies on one trace, each in a thread.
fn run(trace: &Trace, policies: &[Policy]) -> Vec<Summary> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = policies
            .iter()
            .map(|&policy| scope.spawn(move || simulation::run(trace, policy)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("no run panics"))
            .collect()
    })
}
