//! The lease of a group's coordinator.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Fence;
use cactusnotch_derive::message;

/// The platform object that names a group's coordinator.
#[message]
#[derive(Eq, Hash)]
pub struct Lease {
    /// The fencing number, which increases with each holder.
    pub fence: Fence,
    /// The holder.
    pub process: Process,
    /// The number of renewals by the holder.
    pub renewals: u64,
}
