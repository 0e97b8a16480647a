//! First messages of peers that no process of ours writes.

mod common;

use cactusnotch_link::error::Cause;
use cactusnotch_link::{Options, accept_on};
use common::options;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

/// More than the longest message of these tests.
const LIMIT: usize = 2 << 20;

/// Sends `bytes` as the first message to a listener and returns why it refuses them.
async fn refuse(bytes: &[u8]) -> Cause {
    let options = Options {
        handshake_limit: LIMIT,
        ..options("peer")
    };
    let (mut near, far) = duplex(LIMIT);
    let length = u32::try_from(bytes.len()).expect("a message is small");
    near.write_all(&length.to_be_bytes()).await.unwrap();
    near.write_all(bytes).await.unwrap();
    near.shutdown().await.unwrap();
    let mut answer = Vec::new();
    let (accepted, _) = tokio::join!(
        accept_on::<String, _>(far, "odd", &options),
        near.read_to_end(&mut answer)
    );
    accepted.expect_err("it is no message of ours").cause
}

/// Guards against a process that ends with a first message that is nested deeply.
#[tokio::test]
async fn a_deep_first_message_is_refused() {
    // An array, a map with one pair, a tag, and a list of unknown length around each other.
    for open in [&[0x81_u8][..], &[0xa1, 0x01], &[0xc1], &[0x9f]] {
        for bytes in [200, 1_000, 16_000, 1_000_000] {
            let cause = refuse(&open.repeat(bytes / open.len())).await;
            assert!(matches!(cause, Cause::Malformed(_)), "{open:x?}: {cause:?}");
        }
    }
}

/// Guards against a process that reserves the memory that a first message states, or ends with a
/// number that is too large for its field.
#[tokio::test]
async fn a_first_message_with_numbers_that_are_too_large_is_refused() {
    for bytes in [
        // A text, bytes, a list and a map of 2^64 - 1 parts.
        [&[0x7b][..], &[0xff; 8]].concat(),
        [&[0x5b][..], &[0xff; 8]].concat(),
        [&[0x9b][..], &[0xff; 8]].concat(),
        [&[0xbb][..], &[0xff; 8]].concat(),
        // A map whose version is 2^64 - 1, a large integer, and infinite.
        [&b"\xa1\x67version\x1b"[..], &[0xff; 8]].concat(),
        [&b"\xa1\x67version\xc2\x58\x20"[..], &[0xff; 32]].concat(),
        b"\xa1\x67version\xf9\x7c\x00".to_vec(),
    ] {
        let cause = refuse(&bytes).await;
        assert!(
            matches!(cause, Cause::Malformed(_)),
            "{bytes:x?}: {cause:?}"
        );
    }
}
