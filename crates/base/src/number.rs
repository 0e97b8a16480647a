//! Numeric identifiers.

use cactusnotch_derive::number;
use derive_more::{Display, From, Into};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[number]
        #[derive(Display, From, Into)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

numbers! {
    /// The number of an accepted edit in the total order over the settings tree.
    Revision;
    /// The number of an expert map within its group.
    Epoch;
    /// A fencing token: a holder with a smaller one has been superseded.
    Fence;
    /// The incarnation of a process; a replacement has a larger one.
    Incarnation;
    /// A step that the ranks of a group execute in lock-step.
    Step;
    /// A position in a numbered log or in a stream of pieces.
    Sequence;
}
