//! The tables of a system without faults.

use cactusnotch_lab::Failure;
use cactusnotch_lab::load::{Cpu, Policy, Report};

use crate::bench::{Bench, Way};
use crate::rounds::{Rounds, median, millis};

/// How many times slower than the others one endpoint is.
const SLOWNESS: f64 = 4.0;

/// Prints what the way through entries costs: time and processor time.
pub(crate) async fn hop(bench: &mut Bench) -> Result<(), Failure> {
    println!("\n## The hop through entry and agent\n");
    println!(
        "| load | way | tokens/s | first token ms p50 | p95 | p99 | between ms p50 | p95 | p99 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut cost = Vec::new();
    for fraction in [0.1, 0.5] {
        let (mut direct, mut through) = (Rounds::default(), Rounds::default());
        for round in 0..3 {
            let options = bench.options(fraction, 2, round);
            let way = Way::Direct(Policy::RoundRobin);
            direct.reports.push(bench.load(way, &options).await?);
            let before = Cpu::read(&bench.site)?;
            let report = bench.load(Way::Entries, &options).await?;
            let spent = Cpu::read(&bench.site)?.since(&before);
            if fraction >= 0.5 {
                cost.push((spent, report.offered, report.tokens));
            }
            through.reports.push(report);
        }
        print_hop(fraction, "direct, round robin", &direct);
        print_hop(fraction, "through entries", &through);
    }
    print_cost(&cost);
    Ok(())
}

fn print_hop(fraction: f64, name: &str, rounds: &Rounds) {
    print!("| {:.0}% | {name} |", fraction * 100.0);
    print!(" {:.0} |", rounds.median(Report::throughput));
    for quantile in [0.5, 0.95, 0.99] {
        print!(" {:.1} |", rounds.first(quantile));
    }
    for quantile in [0.5, 0.95, 0.99] {
        print!(" {:.1} |", rounds.between(quantile));
    }
    println!();
}

fn print_cost(cost: &[(Cpu, u64, u64)]) {
    println!("\n## Processor time at half the capacity\n");
    println!("| process | ms a request | µs a token |");
    println!("|---|---|---|");
    print_process("entry", cost, |cpu| millis(cpu.entries));
    print_process("agent", cost, |cpu| millis(cpu.agents));
}

fn print_process(name: &str, cost: &[(Cpu, u64, u64)], time: impl Fn(&Cpu) -> f64) {
    let count = |count: u64| u32::try_from(count).map_or(f64::NAN, f64::from);
    let requests = cost
        .iter()
        .map(|(cpu, requests, _)| time(cpu) / count(*requests));
    let tokens = cost
        .iter()
        .map(|(cpu, _, tokens)| time(cpu) / count(*tokens));
    let (requests, tokens) = (median(requests.collect()), median(tokens.collect()));
    println!("| {name} | {requests:.2} | {:.0} |", tokens * 1_000.0);
}

/// Prints goodput at and beyond the capacity.
pub(crate) async fn overload(bench: &mut Bench) -> Result<(), Failure> {
    println!("\n## At and beyond the capacity\n");
    println!("{HEAD}");
    for way in [Way::Direct(Policy::RoundRobin), Way::Entries] {
        let mut goodput = Vec::new();
        for fraction in [1.0, 2.0] {
            let options = bench.options(fraction, 5, 1);
            let mut rounds = Rounds::default();
            rounds.reports.push(bench.load(way, &options).await?);
            let label = format!("{:.0}%, {}", fraction * 100.0, way.name());
            print_row(&label, &rounds);
            goodput.push(rounds.median(Report::goodput));
        }
        println!(
            "| {}: goodput at twice the capacity / at the capacity | | {:.2} | | | | | | | | | | |",
            way.name(),
            goodput[1] / goodput[0]
        );
    }
    Ok(())
}

/// Prints goodput and times against the baselines, with one slow endpoint.
pub(crate) async fn policies(bench: &mut Bench) -> Result<(), Failure> {
    println!("\n## One endpoint {SLOWNESS} times slower, at 65% of the capacity\n");
    println!("{HEAD}");
    bench.site.engines[0].slow(SLOWNESS);
    let mut all: Vec<Rounds> = Way::ALL.iter().map(|_| Rounds::default()).collect();
    for round in 0..3 {
        let options = bench.options(0.65, 4, round);
        for (way, rounds) in Way::ALL.into_iter().zip(&mut all) {
            rounds.reports.push(bench.load(way, &options).await?);
        }
    }
    bench.site.engines[0].slow(1.0);
    for (way, rounds) in Way::ALL.into_iter().zip(&all) {
        print_row(way.name(), rounds);
    }
    Ok(())
}

pub(crate) const HEAD: &str = "\
| way | offered/s | good/s | good % | first token ms p50 | p95 | p99 | not-run | unknown | other refusals | expired | broken or silent | wrong |
|---|---|---|---|---|---|---|---|---|---|---|---|---|";

pub(crate) fn print_row(name: &str, rounds: &Rounds) {
    print!("| {name} | {:.0} |", rounds.median(Report::rate));
    print!(" {:.0} |", rounds.median(Report::goodput));
    let good = rounds.median(|report| report.good_fraction() * 100.0);
    print!(" {good:.1} |");
    for quantile in [0.5, 0.95, 0.99] {
        print!(" {:.0} |", rounds.first(quantile));
    }
    print!(" {} |", rounds.sum(|report| report.not_run));
    print!(" {} |", rounds.sum(|report| report.unknown));
    print!(" {} |", rounds.sum(|report| report.other));
    print!(" {} |", rounds.sum(|report| report.expired));
    print!(" {} |", rounds.sum(|report| report.broken + report.silent));
    println!(" {} |", rounds.sum(|report| report.wrong));
}
