//! The values of the root.

use std::time::Duration;

use cactusnotch_derive::record;

use crate::resolved::Reader;
use crate::{Id, Key, Tree};

/// The values that hold for the whole system.
#[record]
pub struct System {
    /// How long a caller may cache the addresses that it received.
    pub address_lifetime: Duration,
    /// How long a planned stop waits for requests in flight.
    pub drain_time: Duration,
    /// The number of endpoints of a group that one entry balances over.
    pub subset_size: u64,
}

impl System {
    pub(crate) fn new(tree: &Tree) -> Self {
        let root = Id::root();
        let at = Reader::new(tree, &root);
        Self {
            address_lifetime: at.duration(Key::AddressLifetime),
            drain_time: at.duration(Key::DrainTime),
            subset_size: at.integer(Key::SubsetSize),
        }
    }
}
