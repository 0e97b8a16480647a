//! Encodes the experts of a set by rank, in one byte for each expert where its number
//! permits. The map goes to all ranks over one host's narrow link.

use serde::de::Error as _;
use serde::{Deserializer, Serializer};
use serde_bytes::ByteBuf;

/// The first byte gives the number of bytes of an expert's number.
const NARROW: u8 = 1;
const WIDE: u8 = 2;

pub(crate) fn serialize<S: Serializer>(
    ranks: &[Vec<u16>],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let narrow = ranks.iter().flatten().all(|&e| u8::try_from(e).is_ok());
    let mut bytes = vec![if narrow { NARROW } else { WIDE }];
    for experts in ranks {
        let count = u16::try_from(experts.len()).unwrap_or(u16::MAX);
        bytes.extend_from_slice(&count.to_le_bytes());
        for expert in experts {
            let [low, high] = expert.to_le_bytes();
            bytes.push(low);
            if !narrow {
                bytes.push(high);
            }
        }
    }
    serializer.serialize_bytes(&bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Vec<u16>>, D::Error> {
    let bytes: ByteBuf = serde::Deserialize::deserialize(deserializer)?;
    read(&bytes)
        .ok_or_else(|| D::Error::custom("encoded experts are truncated or have an unknown width"))
}

fn read(bytes: &[u8]) -> Option<Vec<Vec<u16>>> {
    let (&width, mut rest) = bytes.split_first()?;
    if width != NARROW && width != WIDE {
        return None;
    }
    let mut ranks = Vec::new();
    while !rest.is_empty() {
        let (count, after) = rest.split_at_checked(2)?;
        let count = usize::from(u16::from_le_bytes([count[0], count[1]]));
        let (experts, after) = after.split_at_checked(count * usize::from(width))?;
        let number = |number: &[u8]| u16::from_le_bytes([number[0], *number.get(1).unwrap_or(&0)]);
        ranks.push(experts.chunks(width.into()).map(number).collect());
        rest = after;
    }
    Some(ranks)
}
