//! Result tables in Markdown.

use crate::policy::Policy;
use crate::result::Summary;
use crate::simulation::{ONSET_SECONDS, SETTLED_SECONDS};
use crate::trace::Kind;

/// Prints the results of all policies on one trace.
pub fn print(kind: Kind, group: &[Summary]) {
    rows(kind.name(), group);
}

/// Prints the results of each policy over all traces.
pub fn print_totals(summaries: &[Summary]) {
    let totals: Vec<Summary> = Policy::ALL
        .iter()
        .filter_map(|&policy| {
            let mut runs = summaries.iter().filter(|s| s.policy == policy);
            let mut total = runs.next()?.clone();
            runs.for_each(|run| total.add(run));
            Some(total)
        })
        .collect();
    rows("all traces", &totals);
}

fn rows(title: &str, group: &[Summary]) {
    println!("\n### {title}\n");
    println!(
        "| policy | skew p50 | p99 | p99 after {ONSET_SECONDS} s | p99 after {SETTLED_SECONDS} s | over bound p50 | over bound p99 | \
         step skew p99 | GB | moves | steps disturbed | switches | stalled s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for s in group {
        println!(
            "| {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.1} | {} | {:.0} | {} | {} |",
            s.policy.name(),
            s.skew.at(0.5),
            s.skew.at(0.99),
            s.after_onset.at(0.99),
            s.settled.at(0.99),
            s.over_bound.at(0.5),
            s.over_bound.at(0.99),
            s.step_skew.at(0.99),
            s.bytes as f64 / 1e9,
            s.moves,
            s.disturbed,
            s.switches,
            s.stalled,
        );
    }
    if let Some(s) = group.first() {
        println!(
            "\nLower bound on skew: p50 {:.3}, p99 {:.3}.",
            s.bound.at(0.5),
            s.bound.at(0.99)
        );
    }
}
