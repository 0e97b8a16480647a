//! Aggregated acknowledgements of many processes.

use std::time::Duration;

use cactusnotch_base::name::{DataCentre, Process};
use cactusnotch_base::number::Sequence;
use cactusnotch_derive::message;
use cactusnotch_member::Fingerprint;

/// An acknowledgement by a set of processes.
#[message]
#[derive(Eq, Copy)]
pub struct Acknowledgement {
    /// The fingerprint of the set, including the incarnation of each process.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// A revision that each of them holds.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// An upper bound of the time since the earliest of them was asked, in
    /// milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

impl Acknowledgement {
    /// Merges `other`, which was requested `elapsed` ago.
    pub(crate) fn merge(&mut self, other: &Self, elapsed: Duration) {
        self.fingerprint += other.fingerprint;
        self.held = self.held.min(other.held);
        self.age_ms = self.age_ms.max(other.age_ms + millis(elapsed));
    }
}

/// A process or data centre that lags behind.
#[message]
#[derive(Eq)]
pub enum Place {
    /// A process.
    #[serde(rename = "p")]
    Process(Process),
    /// A whole data centre that does not answer.
    #[serde(rename = "d")]
    DataCentre(DataCentre),
}

/// A process or data centre that lacks the newest revision.
#[message]
#[derive(Eq)]
pub struct Laggard {
    /// The process or data centre.
    #[serde(rename = "w")]
    pub place: Place,
    /// The newest revision that it has reported to hold.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// How long it has lacked the newest revision or not answered, in
    /// milliseconds.
    #[serde(rename = "s")]
    pub for_ms: u64,
}

/// The report of a subtree or of a data centre.
#[message]
#[derive(Eq)]
pub struct Report {
    /// The acknowledgement of the processes that answer.
    #[serde(rename = "e")]
    pub acknowledgement: Acknowledgement,
    /// How many lack the newest revision or do not answer.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub lacking: u32,
    /// The first of them.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub laggards: Vec<Laggard>,
}

impl Report {
    /// Merges `other`, which was requested `elapsed` ago, and lists at most
    /// `laggards_max` laggards.
    pub(crate) fn merge(&mut self, other: &Self, elapsed: Duration, laggards_max: usize) {
        self.acknowledgement.merge(&other.acknowledgement, elapsed);
        self.lacking += other.lacking;
        let room = laggards_max.saturating_sub(self.laggards.len());
        let more = other.laggards.iter().take(room).cloned();
        self.laggards.extend(more);
    }

    /// Counts a laggard, and lists it unless `laggards_max` are listed already.
    pub(crate) fn add_laggard(&mut self, laggard: Laggard, laggards_max: usize) {
        self.lacking += 1;
        if self.laggards.len() < laggards_max {
            self.laggards.push(laggard);
        }
    }
}

/// Returns the milliseconds of `duration`, rounded up.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX - 1) + 1
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the form that serde calls"
)]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}
