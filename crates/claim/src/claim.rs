//! A claim for a key.

use cactusnotch_derive::message;
use cactusnotch_ledger::{Attempt, Holder, Identity};

/// A claim that an attempt be the one that may run the request of a key.
#[message]
#[derive(Eq, Hash)]
pub struct Claim {
    /// The request.
    pub identity: Identity,
    /// A hash of the payload, so that a key is not used for two requests.
    pub digest: u64,
    /// The attempt and the one agent that may start it.
    pub holder: Holder,
    /// The attempt that held the key and that provably never starts.
    pub from: Option<Attempt>,
}
