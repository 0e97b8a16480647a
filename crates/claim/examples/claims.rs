//! Measures claims against a simulated platform: calls, latency and memory.
//!
//! `cargo run --release -p cactusnotch-claim --example claims`
//!
//! The shards run in virtual time; only the last column is real time.
#![expect(
    clippy::cast_precision_loss,
    reason = "figures that are read by people"
)]

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, SystemTime};

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::Incarnation;
use cactusnotch_base::outcome::Key;
use cactusnotch_claim::batch::{Batch, Entry};
use cactusnotch_claim::event::Written;
use cactusnotch_claim::{Claim, Command, Event, Options, Shard, owner};
use cactusnotch_ledger::{Age, Attempt, Holder, Identity, Link, Terms, Window};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

/// The duration of a call to the platform.
const CALL: Duration = Duration::from_millis(5);
/// The simulated duration of a run.
const TIME: Duration = Duration::from_mins(1);
/// The lifetime of keys in a run, short enough that batches are deleted.
const LIFETIME: Duration = Duration::from_secs(20);
/// The step of the simulated clock.
const STEP: Duration = Duration::from_micros(500);

/// One shard with its log and its pending call.
struct Lane {
    shard: Shard,
    log: VecDeque<Entry>,
    version: u64,
    call: Option<(Instant, Command)>,
}

/// The counters of a run.
struct Count {
    puts: u64,
    lists: u64,
    deletes: u64,
    bytes: u64,
    claims: u64,
    latency: Histogram<u64>,
    spent: Duration,
}

fn main() {
    println!("memory of one shard's writer over remembered keys");
    // Kept until the end, so that no measurement reuses freed memory.
    let shards = [100_000, 200_000, 400_000].map(memory);
    black_box(&shards);
    println!("\nplatform {CALL:?} a call, {TIME:?} simulated, key lifetime {LIFETIME:?}");
    println!(
        "rate/s  shards window  claims  puts/s deletes/s  calls/claim  p50 ms  p99 ms  B/claim  us/claim"
    );
    for rate in [13, 130, 1300, 5000] {
        for (shards, window) in [(1, 0), (1, 10), (1, 25), (1, 50), (4, 25), (4, 50)] {
            run(rate, shards, Duration::from_millis(window));
        }
    }
}

fn run(rate: u32, shards: u32, window: Duration) {
    let options = Options {
        lifetime: LIFETIME,
        skew: Duration::from_secs(1),
        window,
        ..Options::default()
    };
    let start = clock::now();
    let mut random = StdRng::seed_from_u64(4);
    let mut lanes: Vec<Lane> = (0..shards)
        .map(|shard| Lane {
            shard: Shard::new(options.clone(), Uuid::from_u128(u128::from(shard))),
            log: VecDeque::new(),
            version: 0,
            call: None,
        })
        .collect();
    let mut count = Count {
        puts: 0,
        lists: 0,
        deletes: 0,
        bytes: 0,
        claims: 0,
        latency: Histogram::new(3).expect("three digits are allowed"),
        spent: Duration::ZERO,
    };
    let mut asked: Vec<Instant> = Vec::new();
    let mut now = start;
    while now < start + TIME {
        let elapsed = (now - start).as_micros();
        while (asked.len() as u128) < u128::from(rate) * elapsed / 1_000_000 {
            let claim = claim(asked.len() as u64, &mut random);
            let shard = owner::shard(&claim.identity, shards);
            let link = Link(asked.len() as u64);
            asked.push(now);
            lanes[shard as usize].step(Event::Ask { link, claim }, now, start, &asked, &mut count);
        }
        for lane in &mut lanes {
            lane.platform(now, start, &asked, &mut count);
            if lane.shard.wake().is_some_and(|wake| wake <= now) {
                lane.step(Event::Tick, now, start, &asked, &mut count);
            }
        }
        now += STEP;
    }
    report(rate, shards, window, &count);
}

fn report(rate: u32, shards: u32, window: Duration, count: &Count) {
    let claims = count.claims as f64;
    let calls = (count.puts + count.lists + count.deletes) as f64;
    println!(
        "{rate:>6}  {shards:>6} {:>4} ms {:>7}  {:>6.1} {:>9.1}  {:>11.3}  {:>6.1}  {:>6.1}  {:>7.0}  {:>8.2}",
        window.as_millis(),
        count.claims,
        count.puts as f64 / TIME.as_secs_f64(),
        count.deletes as f64 / TIME.as_secs_f64(),
        calls / claims,
        count.latency.value_at_quantile(0.5) as f64 / 1000.0,
        count.latency.value_at_quantile(0.99) as f64 / 1000.0,
        count.bytes as f64 / claims,
        count.spent.as_secs_f64() * 1e6 / claims,
    );
}

impl Lane {
    fn step(
        &mut self,
        event: Event,
        now: Instant,
        start: Instant,
        asked: &[Instant],
        count: &mut Count,
    ) {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_hours(400_000) + (now - start);
        let clock = clock::now();
        let commands = self.shard.step(event, now, wall);
        count.spent += clock.elapsed();
        for command in commands {
            match command {
                Command::Answer { link, .. } => {
                    let took = now - asked[usize::try_from(link.0).expect("few claims")];
                    count.claims += 1;
                    count.latency += u64::try_from(took.as_micros()).expect("a short run");
                }
                Command::Delete { number } => {
                    count.deletes += 1;
                    self.log.retain(|entry| entry.number != number);
                }
                call @ (Command::Put { .. } | Command::List { .. }) => {
                    self.call = Some((now + CALL, call));
                }
            }
        }
    }

    fn platform(&mut self, now: Instant, start: Instant, asked: &[Instant], count: &mut Count) {
        let Some((_, call)) = self.call.take_if(|(due, _)| *due <= now) else {
            return;
        };
        let event = if let Command::Put { number, batch } = call {
            self.put(number, batch, count)
        } else {
            count.lists += 1;
            Event::Listed {
                version: self.version,
                entries: self.log.iter().cloned().collect(),
            }
        };
        self.step(event, now, start, asked, count);
    }

    fn put(&mut self, number: u64, batch: Batch, count: &mut Count) -> Event {
        count.puts += 1;
        count.bytes += serde_json::to_vec(&batch).map_or(0, |json| json.len() as u64);
        self.version += 1;
        let version = self.version;
        self.log.push_back(Entry {
            number,
            version,
            batch,
        });
        Event::Put(Written::Created(version))
    }
}

fn claim(number: u64, random: &mut StdRng) -> Claim {
    let terms = Terms {
        endpoint: "endpoint-01".into(),
        incarnation: Incarnation(1_760_000_000_000),
        age: Age(1_000_000 + number),
    };
    let window = Window {
        start_by: terms.age.after(Duration::from_secs(5)),
        terms,
    };
    Claim {
        identity: Identity {
            organisation: "organisation-01".into(),
            key: Key::new(format!("order-{number}")),
        },
        digest: random.random(),
        holder: Holder {
            attempt: Attempt(Uuid::from_u128(random.random())),
            window,
        },
        from: None,
    }
}

fn memory(keys: u64) -> Shard {
    let mut random = StdRng::seed_from_u64(5);
    let options = Options {
        batch: 100,
        window: Duration::ZERO,
        ..Options::default()
    };
    let mut shard = Shard::new(options, Uuid::nil());
    let start = clock::now();
    let before = resident();
    let wall = SystemTime::UNIX_EPOCH + Duration::from_hours(400_000);
    let mut version = 0;
    for number in 0..keys {
        let time = Duration::from_millis(number);
        let link = Link(number);
        let claim = claim(number, &mut random);
        let mut events = vec![Event::Ask { link, claim }];
        while let Some(event) = events.pop() {
            for command in shard.step(event, start + time, wall + time) {
                version += 1;
                match command {
                    Command::Put { .. } => events.push(Event::Put(Written::Created(version))),
                    Command::List { .. } => events.push(Event::Listed {
                        version,
                        entries: Vec::new(),
                    }),
                    Command::Answer { .. } | Command::Delete { .. } => {}
                }
            }
        }
    }
    assert_eq!(shard.keys() as u64, keys);
    let grown = resident().saturating_sub(before);
    let each = grown / keys;
    println!("{keys:>7} keys  {:>7} KB  {each:>4} B a key", grown / 1024);
    shard
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}
