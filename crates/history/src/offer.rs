//! Parts of the history exchanged between processes.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use derive_more::Display;

use crate::{Entry, Refusal, Snapshot};

/// A part of the history that is offered to a replica.
#[message]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Offer {
    /// Consecutive entries.
    Entries(Vec<Entry>),
    /// The state after a revision.
    Snapshot(Box<Snapshot>),
}

/// The result of an offer to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Answer {
    /// The new part of the offer was applied.
    #[display("applied up to {to}")]
    Applied {
        /// The newest revision.
        to: Revision,
    },
    /// The offer contained nothing new.
    #[display("nothing new")]
    Stale,
    /// Entries are missing. The entries before them were applied.
    #[display("entries from {from} on are missing")]
    Gap {
        /// The first missing entry.
        from: Revision,
    },
    /// The offer belongs to a different history and was not applied.
    #[display("the order differs at {at}")]
    Forked {
        /// The first entry known to differ.
        at: Revision,
    },
    /// An entry is not a valid successor and was not applied.
    #[display("entry {at} is not valid: {refusal}")]
    Invalid {
        /// The entry.
        at: Revision,
        /// Why it is not valid.
        refusal: Refusal,
    },
    /// An inconsistent snapshot was not applied.
    #[display("the snapshot of {at} does not fit together")]
    Inconsistent {
        /// The revision named in the snapshot.
        at: Revision,
    },
}

impl Answer {
    /// Returns whether the replica now contains everything that was offered.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        matches!(self, Self::Applied { .. } | Self::Stale)
    }
}
