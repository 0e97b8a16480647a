//! The era of a store.

use std::fmt;

use cactusnotch_derive::number;

/// The number of times that a store was restored from an older copy. It is zero for a store that
/// does not report it.
#[number]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
