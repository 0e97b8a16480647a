//! The memory use of nodes.

use std::sync::Arc;

use cactusnotch_base::Table;
use cactusnotch_member::{Delta, Row};
use cactusnotch_objects::object::Version;
use cactusnotch_spread::{Message, Node, Options};

use crate::common::{Shape, World};

/// The number of nodes that the mean is computed over.
const NODES: usize = 32;

/// Returns the resident memory of this process, in kilobytes.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// Returns the memory use of a node with the roster of `shape`, in kilobytes, and
/// the nodes. The caller keeps the nodes so that no later measurement reuses
/// their memory.
pub fn measure(shape: &Shape) -> (f64, Vec<Node>) {
    let world = World::new(shape, Options::default(), 1);
    let rows = world.slots.iter().zip(1..).map(|(slot, version)| Row {
        record: Arc::new(slot.record.clone()),
        version: Version(version),
    });
    let delta = Delta {
        after: Version(0),
        through: Version(world.slots.len() as u64),
        rows: rows.collect(),
        removed: Vec::new(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&Message::Delta(delta), &mut bytes).expect("it is encoded");
    let (now, before) = (world.instant(), resident());
    let nodes = (0..NODES).map(|at| {
        let record = world.slots[at].record.clone();
        let mut node = Node::new(Options::default(), record, Table::new(), 1, now);
        let roster = ciborium::from_reader(&bytes[..]).expect("it is decoded");
        node.on_message(&world.slots[0].record.process, roster, now);
        node.on_tick(now);
        node
    });
    let nodes: Vec<Node> = nodes.collect();
    ((resident() - before) / nodes.len() as f64, nodes)
}
