//! Tables of the measurements.

use crate::common::SECOND;
use crate::phase::{Rate, Size};

/// Returns the slope of a line through `points` by least squares.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let over: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    over / points
        .iter()
        .map(|point| (point.0 - x).powi(2))
        .sum::<f64>()
}

pub fn print_costs(sizes: &[Size]) {
    println!(
        "| entries | processes | phase | kB/s mean | kB/s worst | messages/s sent | decisions us/s | codec us/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for size in sizes {
        for (phase, rate) in [
            ("steady", &size.steady),
            ("an edit each 1.5 s", &size.editing),
        ] {
            println!(
                "| {} | {} | {phase} | {:.2} | {:.2} | {:.2} | {} | {} |",
                size.entries,
                size.processes,
                rate.mean / 1000.0,
                rate.worst / 1000.0,
                rate.messages,
                rate.decisions.as_micros(),
                rate.codec.as_micros()
            );
        }
    }
}

pub fn print_times(sizes: &[Size]) {
    println!(
        "\n| processes | held by every process, ms: p50 | p95 | max | known everywhere to be in force, ms: p50 | p95 | max |"
    );
    println!("|---|---|---|---|---|---|---|");
    for Size {
        processes, times, ..
    } in sizes
    {
        print!("| {processes} |");
        for times in [&times.held, &times.known] {
            let quantile = |of| times.value_at_quantile(of);
            print!(
                " {} | {} | {} |",
                quantile(0.5),
                quantile(0.95),
                times.max()
            );
        }
        println!();
    }
}

pub fn print_calls(sizes: &[Size]) {
    println!(
        "\n| processes | platform calls/s: steady | an edit each 1.5 s | outage | minute after | worst second after | all registered after s | cold start: s | calls | worst second |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let (seconds, calls, worst) = size.start;
        println!(
            "| {} | {:.2} | {:.2} | {:.2} | {:.2} | {} | {:.1} | {seconds} | {calls} | {worst} |",
            size.processes,
            size.steady.calls,
            size.editing.calls,
            size.outage.during,
            size.outage.after,
            size.outage.worst,
            size.outage.settled as f64 / SECOND as f64
        );
    }
}

pub fn print_slopes(sizes: &[Size]) {
    type Value = fn(&Size) -> f64;
    fn processor(rate: &Rate) -> f64 {
        (rate.decisions + rate.codec).as_secs_f64() * 1e6
    }
    let values: [(&str, Value); 6] = [
        ("steady B/s, mean", |size| size.steady.mean),
        ("steady B/s, worst process", |size| size.steady.worst),
        ("steady messages/s", |size| size.steady.messages),
        ("steady processor us/s", |size| processor(&size.steady)),
        ("held by every process, max ms", |size| {
            size.times.held.max() as f64
        }),
        ("known everywhere, max ms", |size| {
            size.times.known.max() as f64
        }),
    ];
    println!("\n| slope for 1,000 more processes | |\n|---|---|");
    for (name, value) in values {
        let points = sizes
            .iter()
            .map(|size| (size.processes as f64, value(size)));
        let points: Vec<(f64, f64)> = points.collect();
        println!("| {name} | {:+.1} |", slope(&points) * 1000.0);
    }
}
