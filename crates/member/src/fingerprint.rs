//! A short digest of a set of processes.

use std::ops::{AddAssign, SubAssign};

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::number;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A digest of a set of processes with their incarnations.
///
/// Two different sets have the same fingerprint with probability 2⁻⁶⁴. A process
/// that is counted twice or left out changes the fingerprint.
#[number]
pub struct Fingerprint {
    #[serde(rename = "n")]
    count: u32,
    #[serde(rename = "s")]
    sum: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of one incarnation of a process.
    #[must_use]
    pub fn of(process: &Process, incarnation: Incarnation) -> Self {
        Self {
            count: 1,
            sum: xxh3_64_with_seed(process.as_str().as_bytes(), incarnation.0),
        }
    }

    /// Returns the number of processes.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.count
    }
}

impl AddAssign for Fingerprint {
    fn add_assign(&mut self, other: Self) {
        self.count = self.count.wrapping_add(other.count);
        self.sum = self.sum.wrapping_add(other.sum);
    }
}

impl SubAssign for Fingerprint {
    fn sub_assign(&mut self, other: Self) {
        self.count = self.count.wrapping_sub(other.count);
        self.sum = self.sum.wrapping_sub(other.sum);
    }
}
