//! Acknowledgements of many processes as one.

use std::time::Duration;

use cactusnotch_base::name::{DataCentre, Process};
use cactusnotch_base::number::Sequence;
use cactusnotch_derive::message;
use cactusnotch_member::Fingerprint;

/// What a set of processes is proved to hold.
#[message]
#[derive(Eq, Copy)]
pub struct Acknowledgement {
    /// The set, with the incarnation of each process.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// A revision that each of them holds.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// How long ago, at most, the first of them was asked, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

impl Acknowledgement {
    /// Joins `other`, which was asked for `elapsed` ago.
    pub(crate) fn merge(&mut self, other: &Self, elapsed: Duration) {
        self.fingerprint += other.fingerprint;
        self.held = self.held.min(other.held);
        self.age_ms = self.age_ms.max(other.age_ms + millis(elapsed));
    }
}

/// Who lacks something.
#[message]
#[derive(Eq)]
pub enum Place {
    /// A process.
    #[serde(rename = "p")]
    Process(Process),
    /// A data centre that does not answer as a whole.
    #[serde(rename = "d")]
    DataCentre(DataCentre),
}

/// A process or data centre that lacks the newest revision.
#[message]
#[derive(Eq)]
pub struct Laggard {
    /// Who lacks it.
    #[serde(rename = "w")]
    pub place: Place,
    /// The newest revision that it was heard to hold.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// For how long it has lacked what others hold, or not answered, in
    /// milliseconds.
    #[serde(rename = "s")]
    pub for_ms: u64,
}

/// What the processes of a subtree, or of a data centre, hold and lack.
#[message]
#[derive(Eq)]
pub struct Report {
    /// What those that answer are proved to hold.
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
    /// Joins `other`, which was asked for `elapsed` ago, and names no more
    /// than `named` laggards.
    pub(crate) fn merge(&mut self, other: &Self, elapsed: Duration, named: usize) {
        self.acknowledgement.merge(&other.acknowledgement, elapsed);
        self.lacking += other.lacking;
        let room = named.saturating_sub(self.laggards.len());
        let more = other.laggards.iter().take(room).cloned();
        self.laggards.extend(more);
    }

    /// Adds a laggard, named if there is room.
    pub(crate) fn add_laggard(&mut self, laggard: Laggard, named: usize) {
        self.lacking += 1;
        if self.laggards.len() < named {
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
