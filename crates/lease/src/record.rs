//! The stored form of a lease.

use std::time::Duration;

use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Fence, Sequence};
use cactusnotch_derive::message;

/// A lease as the platform stores it, in an object of kind [`Record::KIND`].
#[message]
pub struct Record {
    /// The process that acquired the lease last.
    pub holder: Process,
    /// A random number of the holder's incarnation, which distinguishes it from
    /// a predecessor of the same name.
    pub session: u64,
    /// The number of the holder's write, by which a lost reply is resolved by
    /// reading back.
    pub attempt: Sequence,
    /// The fencing number; it grows with each change of holder.
    pub fence: Fence,
    /// How long the lease lasts, in milliseconds.
    pub ttl_ms: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

impl Record {
    /// The kind of the platform's objects that hold leases.
    pub const KIND: &'static str = "lease";

    /// Returns how long the lease lasts.
    #[must_use]
    pub const fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }
}
