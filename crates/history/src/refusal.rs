//! Reasons for refusing an edit.

use cactusnotch_base::number::Revision;
use derive_more::{Display, Error};

use crate::{Summary, Touch};

/// The reason for refusing an edit. Except for [`Refusal::Expired`], the edit is
/// certainly not in the history.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// Another edit, accepted after the base, changes the same parts.
    #[display("conflict with {other}, which also touches {}", join(shared))]
    Conflict {
        /// The other edit.
        other: Box<Summary>,
        /// The parts changed by both edits.
        shared: Vec<Touch>,
    },
    /// Another edit, accepted after the base, makes this one invalid.
    #[display("conflict with {other}, after which: {source}")]
    Overtaken {
        /// The other edit.
        other: Box<Summary>,
        /// The rule that would be violated.
        source: cactusnotch_settings::Error,
    },
    /// The edit is invalid.
    #[display("not valid: {source}")]
    Invalid {
        /// The rule that would be violated.
        source: cactusnotch_settings::Error,
    },
    /// The base is older than the summaries retained for detecting conflicts.
    /// It can no longer be determined whether the edit was accepted earlier.
    #[display("the base {base} is older than {oldest}, the oldest that can be compared with")]
    Expired {
        /// The base of the edit.
        base: Revision,
        /// The oldest base for which conflicts can be detected.
        oldest: Revision,
    },
    /// The base does not exist.
    #[display("the base {base} is newer than the newest revision {head}")]
    Ahead {
        /// The base of the edit.
        base: Revision,
        /// The newest revision.
        head: Revision,
    },
    /// The edit, or the tree with it, is too large to be stored.
    #[display("too large: {what} takes {bytes} bytes of at most {limit}")]
    TooLarge {
        /// The oversized part.
        what: &'static str,
        /// The size in bytes.
        bytes: usize,
        /// The maximum size.
        limit: usize,
    },
}

fn join(touches: &[Touch]) -> String {
    let touches: Vec<_> = touches.iter().map(ToString::to_string).collect();
    touches.join(", ")
}
