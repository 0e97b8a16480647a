//! Encodes moves as eight bytes each; with names and types of fields they would
//! take four times as much. A round goes to all ranks over one host's narrow
//! link.

use serde::de::Error as _;
use serde::{Deserializer, Serializer};
use serde_bytes::ByteBuf;

use crate::map::Move;

/// The bytes of a move: set, rank, removed expert, added expert.
const LENGTH: usize = 8;
/// Encodes the absence of an expert.
const NONE: u16 = u16::MAX;

pub(crate) fn serialize<S: Serializer>(moves: &[Move], serializer: S) -> Result<S::Ok, S::Error> {
    let mut bytes = Vec::with_capacity(moves.len() * LENGTH);
    for step in moves {
        let (out, new) = (step.out.unwrap_or(NONE), step.new.unwrap_or(NONE));
        for number in [step.set, step.rank, out, new] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
    }
    serializer.serialize_bytes(&bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Move>, D::Error> {
    let bytes: ByteBuf = serde::Deserialize::deserialize(deserializer)?;
    let (moves, rest) = bytes.as_chunks::<LENGTH>();
    if !rest.is_empty() {
        return Err(D::Error::custom(
            "length of the encoded moves is not a multiple of 8 bytes",
        ));
    }
    let number = |bytes: &[u8; LENGTH], at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
    let expert = |bytes: &[u8; LENGTH], at: usize| Some(number(bytes, at)).filter(|&e| e != NONE);
    let step = |bytes: &[u8; LENGTH]| Move {
        set: number(bytes, 0),
        rank: number(bytes, 2),
        out: expert(bytes, 4),
        new: expert(bytes, 6),
    };
    Ok(moves.iter().map(step).collect())
}
