//! The cost of bounded subsets in balance, time to first token and computation.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::name::{DataCentre, Endpoint, Model};
use cactusnotch_route::{Load, Member, Report, Request, Router, Service, State, subset};
use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::{Routed, Views};
use crate::trace::{self, Scenario};
use crate::{SEED, base, options, print, run};

const ENTRIES: usize = 380;
const ENDPOINTS: usize = 1_300;

/// Prints the tables of subsets.
pub fn run_all() {
    balance();
    latency();
    cost();
}

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|at| format!("{prefix}{at:04}")).collect()
}

fn balance() {
    println!("\nentries per endpoint, {ENTRIES} entries x {ENDPOINTS} endpoints");
    println!(
        "{:<6} {:<22} {:>5} {:>5} {:>7} {:>22} {:>20}",
        "size", "method", "min", "max", "mean", "links moved, -1 endpoint", "-1 entry"
    );
    let entries = names("e", ENTRIES);
    let endpoints = names("s", ENDPOINTS);
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    for size in [8, 16, 32, 64] {
        for (method, assign) in [("plain rendezvous", plain as Assign), ("ours", subset::all)] {
            let all = assign(&entries, &endpoints, size);
            let mut entry_counts = vec![0_u32; ENDPOINTS];
            all.iter().flatten().for_each(|&at| entry_counts[at] += 1);
            let fewer_endpoints = assign(&entries, &endpoints[1..], size);
            let lost: usize = all
                .iter()
                .zip(&fewer_endpoints)
                .map(|(a, b)| moved(a, b, 1))
                .sum();
            let fewer_entries = assign(&entries[1..], &endpoints, size);
            let left: usize = all[1..]
                .iter()
                .zip(&fewer_entries)
                .map(|(a, b)| moved(a, b, 0))
                .sum();
            println!(
                "{size:<6} {method:<22} {:>5} {:>5} {:>7.1} {lost:>22} {left:>20}",
                entry_counts.iter().min().unwrap_or(&0),
                entry_counts.iter().max().unwrap_or(&0),
                f64::from(entry_counts.iter().sum::<u32>()) / 1_300.0,
            );
        }
    }
    let start = clock::now();
    let subset = subset::of(entries[7], &entries, &endpoints, 32);
    println!(
        "computing one entry's subset of {}: {:?}",
        subset.len(),
        start.elapsed()
    );
}

type Assign = fn(&[&str], &[&str], usize) -> Vec<Vec<usize>>;

/// Counts the positions in `after`, offset by `shift`, that `before` lacks.
fn moved(before: &[usize], after: &[usize], shift: usize) -> usize {
    after
        .iter()
        .filter(|&&at| before.binary_search(&(at + shift)).is_err())
        .count()
}

/// The baseline: each entry selects its endpoints with the largest weight.
fn plain(entries: &[&str], endpoints: &[&str], size: usize) -> Vec<Vec<usize>> {
    let subset = |entry: &&str| {
        let seed = xxh3_64_with_seed(entry.as_bytes(), 0);
        let mut order: Vec<(u64, usize)> = (0..endpoints.len())
            .map(|at| (xxh3_64_with_seed(endpoints[at].as_bytes(), seed), at))
            .collect();
        order.sort_unstable();
        let mut subset: Vec<usize> = order[..size].iter().map(|&(_, at)| at).collect();
        subset.sort_unstable();
        subset
    };
    entries.iter().map(subset).collect()
}

fn latency() {
    println!("\nfirst token by subset size, {ENTRIES} entries x {ENDPOINTS} endpoints");
    let second = Duration::from_secs(1);
    let scenario = Scenario {
        entries: ENTRIES,
        endpoints: ENDPOINTS,
        length: second * 20,
        interval: second,
        ..base("8 subsets")
    };
    let jobs = trace::jobs(&scenario, SEED);
    let entries = names("e", ENTRIES);
    let endpoints = names("s", ENDPOINTS);
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    for size in [8, 16, 32, 64] {
        let views = Views::new(subset::all(&entries, &endpoints, size), ENDPOINTS);
        let routed = Routed::new(&scenario, jobs.len(), views, &options());
        print(
            &scenario,
            &format!("ours, {size}"),
            &run(&scenario, &jobs, routed),
        );
        let views = Views::new(plain(&entries, &endpoints, size), ENDPOINTS);
        let routed = Routed::new(&scenario, jobs.len(), views, &options());
        print(
            &scenario,
            &format!("plain, {size}"),
            &run(&scenario, &jobs, routed),
        );
    }
    let routed = Routed::new(&scenario, jobs.len(), Views::full(&scenario), &options());
    print(&scenario, "ours, all", &run(&scenario, &jobs, routed));
}

fn cost() {
    println!("\ntime of one decision, on one core");
    println!("{:<8} {:>12} {:>14}", "subset", "ns, load", "ns, affinity");
    for size in [8, 16, 32, 64, 256, 1_300] {
        println!("{size:<8} {:>12} {:>14}", time(size, &[]), time(size, &[9]));
    }
}

fn time(size: usize, prefix: &[u64]) -> u128 {
    const ROUNDS: u32 = 100_000;
    let now = clock::now();
    let service = Service::Model(Model::new("letters"));
    let mut router = Router::new(options());
    let members: Vec<Member> = names("s", size)
        .into_iter()
        .map(|name| Member {
            name: Endpoint::new(name),
            data_centre: DataCentre::new("a"),
            services: vec![service.clone()],
            slots: 16,
            speed: 1.0,
            group: cactusnotch_route::Group::default(),
        })
        .collect();
    router.set_members(&members);
    for member in &members {
        router.set_state(&member.name, State::Serving);
        let total = Load {
            requests: 4,
            backlog: 100,
        };
        let report = Report {
            state: State::Serving,
            slots: 16,
            total,
            surcharge: 0,
            mine: None,
            sharers: 1,
            age: Duration::ZERO,
        };
        router.apply_report(&member.name, &report, now);
    }
    let rng = &mut StdRng::seed_from_u64(SEED);
    let request = Request {
        service: &service,
        tokens: 300,
        prefix,
        tried: &[],
        may_probe: true,
        allowed_data_centres: None,
        group: None,
    };
    let start = clock::now();
    for round in 0..ROUNDS {
        let choice = router.choose(&request, now + Duration::from_micros(u64::from(round)), rng);
        std::hint::black_box(choice.is_ok());
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}
