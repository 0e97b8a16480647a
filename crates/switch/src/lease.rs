//! The lease of a group's coordinator.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Fence;
use cactusnotch_derive::message;

/// The object on the platform that names a group's coordinator.
#[message]
#[derive(Eq, Hash)]
pub struct Lease {
    /// The fencing number; each holder has a larger one.
    pub fence: Fence,
    /// The holder.
    pub process: Process,
    /// How often the holder has renewed.
    pub renewals: u64,
}
