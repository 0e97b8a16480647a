//! Measures the cost of membership and spread, and the time that a revision takes
//! to reach all processes.
//!
//! All processes run in one thread and in virtual time over a network that
//! delays (within a data centre 0.1 to 0.4 ms, within a region to 1.5 ms,
//! between regions 20 to 40 ms) and drops messages. Each message is
//! encoded and decoded by ciborium. Processor time is that of the thread.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures are printed with three digits"
)]

#[path = "../../tests/common/mod.rs"]
mod common;
mod memory;
mod phase;
mod table;

use phase::Size;

const ENTRIES: [usize; 4] = [10, 40, 160, 380];
const LOSS: [f64; 2] = [0.0, 0.05];

fn main() {
    let measured = ENTRIES.map(|entries| memory::measure(&phase::shape(entries)));
    println!("Memory of a node with its roster\n\n| entries | kB |\n|---|---|");
    for (entries, (kilobytes, _)) in ENTRIES.iter().zip(&measured) {
        println!("| {entries} | {kilobytes:.0} |");
    }
    for loss in LOSS {
        println!("\nLoss {:.0}%\n", loss * 100.0);
        let sizes = ENTRIES.map(|entries| phase::size(entries, loss));
        let sizes: Vec<Size> = sizes.into();
        table::print_costs(&sizes);
        table::print_times(&sizes);
        table::print_calls(&sizes);
        table::print_slopes(&sizes);
    }
}
