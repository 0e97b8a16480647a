//! Claims that one entry makes at another.

use cactusnotch_claim::{Answer, Claim};
use cactusnotch_derive::message;
use cactusnotch_ledger::Attempt;

/// What entries tell one another about claims.
#[message]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The receiver is asked to record a claim.
    Ask(Claim),
    /// What became of the claim of an attempt.
    Answer {
        /// The attempt that the claim named.
        attempt: Attempt,
        /// What became of it.
        answer: Answer,
    },
}
