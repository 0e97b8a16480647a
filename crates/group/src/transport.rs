//! The transport of messages to the agents of other ranks.

use cactusnotch_base::name::Process;
use cactusnotch_wire::group::Message;

/// Sends messages to the agents of other ranks. Messages may be lost.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Sends a message to a process, or drops it.
    fn send(&self, to: &Process, message: Message);
}
