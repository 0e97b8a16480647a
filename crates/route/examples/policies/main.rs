//! Compares the router with baseline policies on the same seeded arrivals.
//!
//! `cargo run --release -p cactusnotch-route --example policies`

mod model;
mod policy;
mod subsets;
mod trace;

use std::time::Duration;

use cactusnotch_route::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::model::{Figures, Model};
use crate::policy::{Baseline, Kind, Policy, Routed, Views};
use crate::trace::{Job, Scenario};

const SEED: u64 = 4;

fn main() {
    println!("seed {SEED}; first token in ms; good: whole answers in time, % of offered");
    println!(
        "{:<24} {:<16} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7} {:>7}",
        "scenario", "policy", "p50", "p95", "p99", "good", "refused", "hits", "max/avg"
    );
    let only = std::env::args().nth(1);
    let wanted = |name: &str| only.as_deref().is_none_or(|part| name.starts_with(part));
    for scenario in scenarios().iter().filter(|s| wanted(s.name)) {
        compare(scenario);
    }
    if !wanted("8") {
        return;
    }
    subsets::run_all();
}

/// The default scenario: nine entries and sixty endpoints at 70% of their capacity.
fn base(name: &'static str) -> Scenario {
    Scenario {
        name,
        entries: 9,
        endpoints: 60,
        slots: 16,
        length: Duration::from_mins(1),
        rate: 10.5,
        deadline: Duration::from_secs(5),
        interval: Duration::from_millis(250),
        lag: Duration::from_millis(100),
        slow: 1,
        kill: None,
        cache: 0,
        prefixes: 0,
        hot_entry: 0.0,
        long: 0.0,
        refuse: false,
    }
}

fn scenarios() -> Vec<Scenario> {
    let second = Duration::from_secs(1);
    vec![
        base("1 even"),
        Scenario {
            entries: 380,
            ..base("1 even, 380 entries")
        },
        Scenario {
            hot_entry: 0.4,
            long: 0.1,
            rate: 8.0,
            ..base("2 skewed")
        },
        Scenario {
            slow: 3,
            ..base("3 one slow")
        },
        Scenario {
            interval: second,
            lag: second,
            ..base("4 lag 1 s")
        },
        Scenario {
            interval: second,
            lag: second * 5,
            ..base("4 lag 5 s")
        },
        Scenario {
            entries: 380,
            interval: second,
            lag: second,
            ..base("4 lag 1 s, 380")
        },
        Scenario {
            prefixes: 600,
            cache: 20,
            rate: 6.0,
            ..base("5 prefixes")
        },
        Scenario {
            kill: Some(second * 30),
            ..base("6 one dies")
        },
        Scenario {
            rate: 30.0,
            ..base("7 twice capacity")
        },
        Scenario {
            rate: 30.0,
            refuse: true,
            ..base("7 twice, refusing")
        },
    ]
}

fn compare(scenario: &Scenario) {
    let jobs = trace::jobs(scenario, SEED);
    for (name, kind) in [
        ("random", Kind::Random),
        ("round robin", Kind::RoundRobin),
        ("least reported", Kind::LeastReported),
    ] {
        print(
            scenario,
            name,
            &run(scenario, &jobs, Baseline::new(kind, scenario)),
        );
    }
    let views = Views::full(scenario);
    print(
        scenario,
        "ours",
        &run(
            scenario,
            &jobs,
            Routed::new(scenario, jobs.len(), views.clone(), &options()),
        ),
    );
    if scenario.prefixes > 0 {
        let without = Options {
            affinity_width: 0,
            ..options()
        };
        print(
            scenario,
            "ours, no affinity",
            &run(
                scenario,
                &jobs,
                Routed::new(scenario, jobs.len(), views, &without),
            ),
        );
    }
}

fn options() -> Options {
    Options {
        token_time: model::TOKEN,
        ..Options::default()
    }
}

/// Runs a policy on a trace.
fn run(scenario: &Scenario, jobs: &[Job], policy: impl Policy) -> Figures {
    Model::new(scenario, jobs, policy, StdRng::seed_from_u64(SEED)).run()
}

/// Prints one row of the table.
fn print(scenario: &Scenario, policy: &str, figures: &Figures) {
    let ms = |quantile: f64| {
        Duration::from_micros(figures.first.value_at_quantile(quantile)).as_secs_f64() * 1e3
    };
    let percent = |part: u64, whole: u64| {
        if whole == 0 {
            0.0
        } else {
            100.0 * float(part) / float(whole)
        }
    };
    let most = figures.served.iter().max().copied().unwrap_or(0);
    let mean =
        float(figures.served.iter().sum()) / float(figures.served.len().try_into().unwrap_or(1));
    println!(
        "{:<24} {:<16} {:>7.1} {:>7.1} {:>7.1} {:>6.1}% {:>7.1}% {:>6.1}% {:>7.2}",
        scenario.name,
        policy,
        ms(0.5),
        ms(0.95),
        ms(0.99),
        percent(figures.good, figures.offered),
        percent(figures.refused, figures.offered),
        percent(figures.hits, figures.lookups),
        float(most) / mean,
    );
}

fn float(n: u64) -> f64 {
    u32::try_from(n).map_or(f64::MAX, f64::from)
}
