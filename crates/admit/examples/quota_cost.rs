//! Counts the messages and bytes of the exchange of quota in large fleets.
//!
//! `cargo run --release -p cactusnotch-admit --example quota_cost`
//!
//! Requests arrive at random entries, or at random lenders of their cap, and run
//! for one second. Every organisation's cap is 1.5 times its mean usage plus two.

use std::time::Duration;

use cactusnotch_admit::quota::{Exchange, Key, Message, Options, Unit};
use cactusnotch_base::Table;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::{Organisation, Process};
use cactusnotch_base::number::{Incarnation, Revision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(50);
const TICKS: u32 = 200;
/// The number of initial ticks that are not counted, until quota has been lent.
const WARM_UP: u32 = 120;
/// Requests per second and entry.
const RATE: f64 = 38.0;

#[derive(Default)]
struct Count {
    messages: u32,
    bytes: u32,
    most_bytes: u32,
    unmet: u32,
    wanted: u32,
    ask_time: Duration,
}

fn main() {
    println!("per entry and second, ticks of {TICK:?}, {RATE} requests/s at each entry");
    println!(
        "{:>8} {:>14} {:>10} {:>10} {:>14} {:>12} {:>10}",
        "entries", "organisations", "messages", "bytes", "busiest, bytes", "cpu, us", "unmet"
    );
    for at_lenders in [false, true] {
        println!(
            "callers connect to {}",
            if at_lenders {
                "the lenders of their cap"
            } else {
                "any entry"
            }
        );
        for (entries, organisations) in [(9, 10), (10, 910), (40, 910), (160, 910), (380, 910)] {
            report(entries, organisations, at_lenders);
        }
    }
}

fn report(entries: u32, organisations: u32, at_lenders: bool) {
    let count = run(entries, organisations, at_lenders);
    let seconds = TICK.as_secs_f64() * f64::from(TICKS - WARM_UP);
    let each = |sum: u32| f64::from(sum) / seconds / f64::from(entries);
    println!(
        "{entries:>8} {organisations:>14} {:>10.1} {:>10.0} {:>14.0} {:>12.0} {:>9.2}%",
        each(count.messages),
        each(count.bytes),
        f64::from(count.most_bytes) / seconds,
        count.ask_time.as_secs_f64() * 1e6 / seconds / f64::from(entries),
        100.0 * f64::from(count.unmet) / f64::from(count.wanted.max(1)),
    );
}

fn run(entries: u32, organisations: u32, at_lenders: bool) -> Count {
    let start = clock::now();
    let names: Vec<Process> = (0..entries)
        .map(|at| Process::new(format!("entry-{at:03}")))
        .collect();
    let keys: Vec<Key> = (0..organisations)
        .map(|at| Key {
            organisation: Organisation::new(format!("organisation-{at:03}")),
            unit: Unit::Concurrency,
        })
        .collect();
    let shares: Vec<f64> = (1..=organisations)
        .map(|rank| 1.0 / f64::from(rank))
        .collect();
    let sum: f64 = shares.iter().sum();
    let mean_usage = |share: f64| RATE * f64::from(entries) * share / sum;
    let caps: Table<Key, u32> = keys
        .iter()
        .zip(&shares)
        .map(|(key, share)| (key.clone(), ceil(mean_usage(*share) * 1.5 + 2.0)))
        .collect();
    let mut nodes: Vec<Exchange> = names
        .iter()
        .map(|name| Exchange::new(name.clone(), Incarnation(1), Options::default(), start))
        .collect();
    for node in &mut nodes {
        node.set_caps(Revision(1), &names, caps.clone());
        node.confirm(Revision(1), start);
    }
    let position = |name: &&Process| names.binary_search(name).expect("the entry exists");
    let lenders = |key: &Key| nodes[0].lenders(key).iter().map(position).collect();
    let lenders: Vec<Vec<usize>> = keys.iter().map(lenders).collect();
    let rng = &mut StdRng::seed_from_u64(4);
    let mut running: Vec<Vec<u32>> = vec![vec![0; keys.len()]; nodes.len()];
    let mut ends: Vec<Vec<(usize, usize)>> = vec![Vec::new(); 20];
    let mut count = Count::default();
    let mut bytes = vec![0; nodes.len()];
    for tick in 0..TICKS {
        let now = start + TICK * tick;
        let slot = tick as usize % ends.len();
        for (node, key) in std::mem::take(&mut ends[slot]) {
            running[node][key] -= 1;
            nodes[node].set_demand(&keys[key], running[node][key], running[node][key], now);
        }
        let arrivals = ceil(RATE * f64::from(entries) * TICK.as_secs_f64());
        for _ in 0..arrivals {
            let key = draw(&shares, sum, rng);
            let node = if at_lenders {
                lenders[key][rng.random_range(0..lenders[key].len())]
            } else {
                rng.random_range(0..nodes.len())
            };
            running[node][key] += 1;
            nodes[node].set_demand(&keys[key], running[node][key], running[node][key], now);
            ends[slot].push((node, key));
        }
        exchange(
            &mut nodes,
            &names,
            now,
            |from, message| {
                if tick >= WARM_UP {
                    let size = size(message);
                    count.messages += 1;
                    count.bytes += size;
                    bytes[from] += size;
                }
            },
            &mut count.ask_time,
        );
        if tick >= WARM_UP {
            for (node, running) in nodes.iter().zip(&running) {
                for (key, running) in keys.iter().zip(running).filter(|(_, n)| **n > 0) {
                    count.wanted += running;
                    count.unmet += running.saturating_sub(node.held(key, now));
                }
            }
        }
    }
    count.most_bytes = bytes.into_iter().max().unwrap_or(0);
    count
}

/// Ticks all entries and delivers all messages.
fn exchange(
    nodes: &mut [Exchange],
    names: &[Process],
    now: Instant,
    mut sent: impl FnMut(usize, &Message),
    time: &mut Duration,
) {
    let mut posts = Vec::new();
    let begun = clock::now();
    for (at, node) in nodes.iter_mut().enumerate() {
        posts.extend(
            node.tick(now)
                .into_iter()
                .map(|(to, message)| (at, to, message)),
        );
    }
    *time += begun.elapsed();
    while let Some((from, to, message)) = posts.pop() {
        sent(from, &message);
        let at = names.binary_search(&to).expect("the entry exists");
        let begun = clock::now();
        let answers = nodes[at].receive(&names[from], &message, now);
        *time += begun.elapsed();
        posts.extend(answers.into_iter().map(|(to, answer)| (at, to, answer)));
    }
}

fn size(message: &Message) -> u32 {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to a vector succeeds");
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}

fn draw(shares: &[f64], sum: f64, rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * sum;
    let at = shares.iter().position(|share| {
        left -= share;
        left <= 0.0
    });
    at.unwrap_or(0)
}

fn ceil(value: f64) -> u32 {
    let whole = Duration::from_secs_f64(value.ceil()).as_secs();
    u32::try_from(whole).unwrap_or(u32::MAX)
}
