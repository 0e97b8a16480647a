//! Prints the sizes of entries and snapshots, the duration of a submission,
//! and the calls to the platform for each edit, with 910 organisations.

#[path = "../../settings/examples/support/mod.rs"]
mod fleet;
#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::Revision;
use cactusnotch_history::{Options, Reader, Replica, Verdict, Writer};
use serde::Serialize;
use support::Memory;

/// The number of configuration changes per day.
const EDITS: usize = 800;

fn main() {
    let store = Memory::new();
    let mut writer = Writer::new(store.clone(), Replica::new(), Options::default());
    let verdict = writer.submit(&fleet::fleet());
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict}");
    let first = &writer.replica().entries()[0];
    println!("entry that makes the tree  {} bytes", bytes(first));

    let before = store.calls();
    let mut times = Vec::with_capacity(EDITS);
    for at in 0..EDITS {
        let edit = fleet::change(Revision(1 + at as u64), at);
        let started = clock::now();
        let verdict = writer.submit(&edit);
        times.push(started.elapsed());
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict}");
    }
    let calls = store.calls() - before;
    let entry = writer.replica().entries().last();
    println!(
        "entry of one value         {} bytes",
        entry.map_or(0, bytes)
    );
    println!(
        "snapshot                   {} bytes",
        bytes(writer.replica().snapshot())
    );
    println!("entries left in the store  {}", store.count("revision"));
    println!("calls for {EDITS} edits        {calls}");
    print_times("submit, without a network", times);
    print_reading(&store);
}

fn print_reading(store: &Memory) {
    let mut reader = Reader::new(store.clone(), Replica::new());
    let before = store.calls();
    let started = clock::now();
    reader.sync().expect("the history can be read");
    let took = started.elapsed();
    let calls = store.calls() - before;
    println!("fresh reader               {calls} calls, {took:?}");
}

fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let last = times.len() - 1;
    let (median, p99) = (times[last / 2], times[last * 99 / 100]);
    println!(
        "{name:26} median {median:?}, p99 {p99:?}, greatest {:?}",
        times[last]
    );
}

fn bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
