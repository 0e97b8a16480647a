//! A numbered revision, or several combined into one.

use bytes::Bytes;
use cactusnotch_base::number::Sequence;
use cactusnotch_derive::message;
use cactusnotch_objects::object::Version;

use crate::tail::Piece;

/// The size of a span on the wire besides its payload, in bytes.
const OVERHEAD: usize = 48;

/// A payload that advances a holder of revision [`Span::after`] or a later one
/// to revision [`Span::through`].
///
/// A single revision starts after its predecessor; a snapshot starts after
/// zero.
#[message]
pub struct Span {
    /// The revision that the receiver must already hold.
    #[serde(rename = "a")]
    pub after: Sequence,
    /// The revision that the receiver holds afterwards.
    #[serde(rename = "t")]
    pub through: Sequence,
    /// The version of the platform's store at which revision
    /// [`Span::through`] was written.
    #[serde(rename = "v")]
    pub version: Version,
    /// The encoded settings, opaque to this crate.
    #[serde(rename = "p")]
    pub payload: Bytes,
}

impl Piece for Span {
    fn after(&self) -> u64 {
        self.after.0
    }

    fn through(&self) -> u64 {
        self.through.0
    }

    fn cost(&self) -> usize {
        OVERHEAD + self.payload.len()
    }
}
