//! Why an edit is not accepted.

use cactusnotch_base::number::Revision;
use derive_more::{Display, Error};

use crate::{Summary, Touch};

/// Why an edit is not accepted. But for [`Refusal::Expired`] the edit is
/// certain not to be in the order.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// Another edit, accepted since the author looked, touches the same.
    #[display("conflict with {other}, which also touches {}", join(shared))]
    Conflict {
        /// The other edit.
        other: Box<Summary>,
        /// What both touch.
        shared: Vec<Touch>,
    },
    /// Another edit, accepted since the author looked, makes this one invalid.
    #[display("conflict with {other}, after which: {source}")]
    Overtaken {
        /// The other edit.
        other: Box<Summary>,
        /// The rule that would be broken.
        source: cactusnotch_settings::Error,
    },
    /// The edit is not valid.
    #[display("not valid: {source}")]
    Invalid {
        /// The rule that would be broken.
        source: cactusnotch_settings::Error,
    },
    /// The base is older than what is kept for finding conflicts. Whether the
    /// edit was accepted long ago is not known any more.
    #[display("the base {base} is older than {oldest}, the oldest that can be compared with")]
    Expired {
        /// The base of the edit.
        base: Revision,
        /// The oldest base that can be compared with.
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
        /// What is too large.
        what: &'static str,
        /// Its size.
        bytes: usize,
        /// The greatest size.
        limit: usize,
    },
}

fn join(touches: &[Touch]) -> String {
    let touches: Vec<_> = touches.iter().map(ToString::to_string).collect();
    touches.join(", ")
}
