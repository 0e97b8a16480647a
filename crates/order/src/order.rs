//! An order and its answer.

use cactusnotch_base::number::{Fence, Incarnation};
use cactusnotch_derive::message;

const SEQUENCE_BITS: u32 = 32;

/// An order as it is sent to an engine.
#[message]
#[derive(Eq, Hash)]
pub struct Order<W> {
    /// The fencing number, which also identifies the order. It grows with every
    /// order, and a late duplicate is refused like an order of a former sender.
    pub fence: Fence,
    /// The state that the engine must have.
    pub wanted: W,
}

/// The answer of an engine to an order or to a read.
#[message]
#[derive(Eq, Hash)]
pub struct Answer<S> {
    /// The fencing number of the order or read that is answered.
    pub fence: Fence,
    /// Whether the order was accepted.
    pub reply: Reply,
    /// The engine's state after the order.
    pub state: S,
}

/// Whether an engine accepted an order.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Reply {
    /// The order was accepted, or a read was answered.
    Taken,
    /// The order was refused because of the engine's state; nothing changed.
    Refused,
    /// The order was refused because of its fencing number; nothing changed.
    Fenced,
}

/// Returns the fencing number of order `sequence` of the agent `incarnation`.
///
/// Numbers of a later incarnation are larger than all of an earlier one.
pub(crate) const fn number(incarnation: Incarnation, sequence: u32) -> Fence {
    Fence((incarnation.0 << SEQUENCE_BITS) | sequence as u64)
}
