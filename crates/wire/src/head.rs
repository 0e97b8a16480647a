//! The first piece of an answer: its status and media type.

use bytes::Bytes;
use cactusnotch_derive::message;
use derive_more::{Display, Error};

/// The status and media type of an answer. It is sent as the answer's first
/// piece, so a replay includes it.
#[message]
#[derive(Eq)]
pub struct Head {
    /// The HTTP status code.
    pub status: u16,
    /// The media type.
    pub content_type: String,
}

/// The first piece of an answer cannot be decoded as a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("first piece of an answer: it is no head")]
pub struct Error;

impl Head {
    /// Returns the piece that carries the head.
    ///
    /// # Panics
    ///
    /// Never: a head is always encodable, and writes to memory do not fail.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut piece = Vec::new();
        ciborium::into_writer(self, &mut piece).expect("a head is encodable");
        Bytes::from(piece)
    }

    /// Decodes the head from an answer's first piece.
    ///
    /// # Errors
    ///
    /// Fails if the piece is not an encoded head.
    pub fn decode(piece: &[u8]) -> Result<Self, Error> {
        ciborium::from_reader(piece).map_err(|_| Error)
    }
}
