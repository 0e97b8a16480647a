//! What processes tell one another about the order.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use derive_more::Display;

use crate::{Entry, Refusal, Snapshot};

/// A part of the order that is offered to a replica.
#[message]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Offer {
    /// Consecutive entries.
    Entries(Vec<Entry>),
    /// The state after a revision.
    Snapshot(Box<Snapshot>),
}

/// What a replica made of an offer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Answer {
    /// All of the offer that was new has been applied.
    #[display("applied up to {to}")]
    Applied {
        /// The newest revision.
        to: Revision,
    },
    /// The offer held nothing new.
    #[display("nothing new")]
    Stale,
    /// Entries are missing. Those before them have been applied.
    #[display("entries from {from} on are missing")]
    Gap {
        /// The first entry that is missing.
        from: Revision,
    },
    /// The offer belongs to another order and was not applied.
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
    /// A snapshot whose parts do not fit together was not applied.
    #[display("the snapshot of {at} does not fit together")]
    Inconsistent {
        /// The revision that it claims.
        at: Revision,
    },
}

impl Answer {
    /// Tells whether the replica now holds all that was offered.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        matches!(self, Self::Applied { .. } | Self::Stale)
    }
}
