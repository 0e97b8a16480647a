//! Datagrams of other hosts that no process of ours writes.

use cactusnotch_gateway::datagram;
use cactusnotch_gateway::peer::Datagram;

/// Guards against a process that ends with a datagram that is nested deeply.
#[test]
fn a_deep_datagram_is_not_decoded() {
    // An array, a map with one pair, a tag, and a string of unknown length around each other.
    for open in [&[0x81_u8][..], &[0xa1, 0x01], &[0xc1], &[0x9f]] {
        for bytes in [1_000, 16_000, 65_000, 1_000_000] {
            let deep = open.repeat(bytes / open.len());
            assert!(datagram::decode::<Datagram>(&deep).is_err());
        }
    }
}
