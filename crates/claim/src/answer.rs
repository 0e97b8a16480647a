//! Answers to claims.

use cactusnotch_derive::message;
use cactusnotch_ledger::Holder;

/// The answer to a claim.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The attempt holds the key and may be dispatched.
    Granted,
    /// Another attempt holds the key.
    Held(Holder),
    /// The key is claimed for a request with a different payload.
    Mismatch,
    /// The claim could not be recorded, or the result of the write is unknown.
    /// It may exist in the log, so the attempt must never be dispatched.
    Unavailable,
}
