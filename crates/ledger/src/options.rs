//! The bounds of a ledger.

use std::time::Duration;

/// The bounds of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long the key of a non-idempotent run is remembered after its start.
    pub lifetime: Duration,
    /// How long an idempotent run is remembered after its start.
    pub repeatable_lifetime: Duration,
    /// How many runs are remembered.
    pub rows: usize,
    /// How many given-up attempts are remembered one by one.
    pub tombstones: usize,
    /// How many bytes of answers and of keys are kept, over all runs.
    pub bytes: usize,
    /// How many bytes of one answer are kept to be sent again.
    pub answer_bytes: usize,
    /// How long a key, with the name of its organisation, may be, in bytes.
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
