//! How often a store has come back from an older copy.

use std::fmt;

use cactusnotch_derive::number;

/// How often a store has come back from an older copy; zero for one that doesn't say so.
#[number]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
