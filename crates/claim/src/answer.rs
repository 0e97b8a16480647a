//! What becomes of a claim.

use cactusnotch_derive::message;
use cactusnotch_ledger::Holder;

/// What becomes of a claim.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The attempt holds the key and may be dispatched.
    Granted,
    /// Another attempt holds the key.
    Held(Holder),
    /// The key was claimed for a request with another payload.
    Mismatch,
    /// The claim could not be recorded for now, or not for certain. It may
    /// stand, so the attempt must never be dispatched.
    Unavailable,
}
