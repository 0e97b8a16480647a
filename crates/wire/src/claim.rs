//! Messages between entries about claims.

use cactusnotch_claim::{Answer, Claim};
use cactusnotch_derive::message;
use cactusnotch_ledger::Attempt;

/// A message between entries about claims.
#[message]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Requests the receiver to record a claim.
    Ask(Claim),
    /// The result of the claim of an attempt.
    Answer {
        /// The attempt that the claim named.
        attempt: Attempt,
        /// The result.
        answer: Answer,
    },
}
