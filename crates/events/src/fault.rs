//! Why bytes are no event.

use derive_more::{Display, Error};

/// Why bytes are no event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The bytes are not UTF-8.
    #[display("bytes that are not UTF-8")]
    Text,
    /// A line is neither a field nor a comment.
    #[display("a line that is no field")]
    Line,
    /// An id is not a number.
    #[display("an id that is no number")]
    Id,
    /// An event has two ids.
    #[display("two ids in an event")]
    TwoIds,
    /// An event has no id.
    #[display("an event without an id")]
    NoId,
    /// An event has no data.
    #[display("an event without data")]
    NoData,
    /// An id is not larger than the one before it.
    #[display("id {id} after {last}")]
    Order {
        /// The id of the event.
        id: u64,
        /// The id of the event before it.
        last: u64,
    },
    /// Comments and empty lines take too much room.
    #[display("too many bytes between two events")]
    Filler,
    /// The stream ended within an event.
    #[display("the stream ended within an event")]
    Unfinished,
}

impl Fault {
    /// Returns the name of the fault as a label of metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Line => "line",
            Self::Id => "id",
            Self::TwoIds => "two-ids",
            Self::NoId => "no-id",
            Self::NoData => "no-data",
            Self::Order { .. } => "order",
            Self::Filler => "filler",
            Self::Unfinished => "unfinished",
        }
    }
}
