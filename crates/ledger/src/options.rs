//! The limits of a ledger.

use std::time::Duration;

/// The limits of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long the key of a non-idempotent run is retained after its start.
    pub lifetime: Duration,
    /// How long an idempotent run is retained after its start.
    pub repeatable_lifetime: Duration,
    /// The maximum number of recorded runs.
    pub rows: usize,
    /// The maximum number of given-up attempts that are recorded individually.
    pub tombstones: usize,
    /// The maximum size of answers and identities over all runs, in bytes.
    pub bytes: usize,
    /// The maximum size of one stored answer, in bytes.
    pub answer_bytes: usize,
    /// The maximum length of a key plus the name of its organisation, in bytes.
    pub key_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_mins(15),
            repeatable_lifetime: Duration::from_mins(1),
            rows: 200_000,
            tombstones: 20_000,
            bytes: 64 << 20,
            answer_bytes: 1 << 20,
            key_bytes: 512,
        }
    }
}
