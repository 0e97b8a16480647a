//! Measures the memory of a ledger and the duration of its steps.
//!
//! `cargo run --release -p cactusnotch-ledger --example memory`
#![expect(
    clippy::cast_precision_loss,
    reason = "figures that are read by people"
)]

use std::hint::black_box;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::Incarnation;
use cactusnotch_base::outcome::Key;
use cactusnotch_ledger::message::{Repeat, Run};
use cactusnotch_ledger::{
    Age, Attempt, Event, Identity, Ledger, Link, Options, Request, Terms, Window,
};
use uuid::Uuid;

/// The requests per second of one agent: 1,300 over 16 endpoints.
const RATE: u64 = 81;

/// The load on a ledger.
struct Load {
    keys: u64,
    pieces: usize,
    piece_bytes: usize,
}

fn main() {
    println!("resident memory over runs that ended, of one agent (lifetime 15 min)");
    println!("keys    answer            resident     counted    a key     step us/run");
    // Kept until the end, so that no measurement reuses freed memory.
    let mut ledgers = Vec::new();
    for keys in [20_000, 40_000, 72_900] {
        ledgers.push(measure(&Load {
            keys,
            pieces: 0,
            piece_bytes: 0,
        }));
    }
    for (pieces, piece_bytes) in [(1, 1024), (4, 256), (64, 16)] {
        ledgers.push(measure(&Load {
            keys: 20_000,
            pieces,
            piece_bytes,
        }));
    }
}

fn measure(load: &Load) -> Ledger {
    let start = clock::now();
    let options = Options {
        rows: 1_000_000,
        bytes: 1 << 30,
        ..Options::default()
    };
    let mut ledger = Ledger::new(options, "endpoint-01".into(), Incarnation(1), start);
    let before = resident();
    let clock = clock::now();
    for number in 0..load.keys {
        let now = start + Duration::from_millis(number * 1000 / RATE);
        run(&mut ledger, load, number, now);
    }
    let spent = clock.elapsed();
    let grown = resident().saturating_sub(before);
    assert_eq!(ledger.remembered() as u64, load.keys);
    println!(
        "{:<7} {:>3} x {:>4} B  {:>9} KB {:>9} KB {:>6} B  {:>9.2}",
        load.keys,
        load.pieces,
        load.piece_bytes,
        grown / 1024,
        ledger.bytes() / 1024,
        grown / load.keys,
        spent.as_secs_f64() * 1e6 / load.keys as f64,
    );
    ledger
}

fn run(ledger: &mut Ledger, load: &Load, number: u64, now: Instant) {
    let attempt = Attempt(Uuid::from_u128(
        u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
    ));
    let age = ledger.age(now);
    let run = Run {
        attempt,
        identity: Identity {
            organisation: "organisation-01".into(),
            key: Key::new(attempt.to_string()),
        },
        digest: number,
        repeat: Repeat::Once,
        window: Window {
            terms: Terms {
                endpoint: "endpoint-01".into(),
                incarnation: Incarnation(1),
                age,
            },
            start_by: age.after(Duration::from_secs(5)),
        },
        finish_by: Age::NEVER,
        linger_ms: 0,
    };
    let link = Link(1);
    let request = Request::Run(run);
    black_box(ledger.step(Event::Request { link, request }, now));
    for _ in 0..load.pieces {
        let data = Bytes::from(vec![1; load.piece_bytes]);
        black_box(ledger.step(Event::Piece { attempt, data }, now));
    }
    black_box(ledger.step(Event::Done(attempt), now));
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
