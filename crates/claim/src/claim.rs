//! A claim for a key.

use cactusnotch_derive::message;
use cactusnotch_ledger::{Attempt, Holder, Identity};

/// A claim of a key by an attempt, which may run the request if it is granted.
#[message]
#[derive(Eq, Hash)]
pub struct Claim {
    /// The request.
    pub identity: Identity,
    /// A hash of the payload, which detects a key reused for another request.
    pub digest: u64,
    /// The attempt, and the only agent that may start it.
    pub holder: Holder,
    /// The previous holder of the key, which provably never starts.
    pub from: Option<Attempt>,
}
