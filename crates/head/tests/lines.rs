//! Heads whose lines end in different ways.

use cactusnotch_head::{Fault, Lines};
use proptest::prelude::*;

const SOUND: &str = "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
/// The line ends of a body are the endpoint's.
const BODY: &str = "a\nb\r\n\nc";

/// Returns the verdict on a response that arrives in pieces of `size` bytes.
fn read(response: &[u8], size: usize) -> Result<(), Fault> {
    let mut lines = Lines::default();
    response
        .chunks(size)
        .try_for_each(|piece| lines.push(piece))
}

#[test]
fn lines_that_end_alike_are_sound() {
    for response in [
        format!("{SOUND}{BODY}"),
        format!("{INTERIM}{INTERIM}{SOUND}{BODY}"),
        format!("\r\n{SOUND}{BODY}"),
        format!("{}{BODY}", SOUND.replace('\r', "")),
        format!("{}{BODY}", format!("{INTERIM}{SOUND}").replace('\r', "")),
    ] {
        for size in [1, 2, 7, 1_000] {
            assert_eq!(read(response.as_bytes(), size), Ok(()), "{response:?}");
        }
    }
}

proptest! {
    /// Guards against a head that ends where its endpoint didn't end it.
    #[test]
    fn a_lost_carriage_return_is_a_fault(at in 0usize..4, interim in any::<bool>(), size in 1usize..60) {
        let mut head = SOUND.as_bytes().to_vec();
        let returns: Vec<_> = (0..head.len()).filter(|at| head[*at] == b'\r').collect();
        head.remove(returns[at]);
        let before = if interim { INTERIM } else { "" };
        let response = [before.as_bytes(), &head, BODY.as_bytes()].concat();
        prop_assert_eq!(read(&response, size), Err(Fault::LineEnd));
    }

    #[test]
    fn any_bytes_are_read_alike_in_any_pieces(bytes in prop::collection::vec(any::<u8>(), 0..200), size in 1usize..20) {
        prop_assert_eq!(read(&bytes, size), read(&bytes, 1_000));
    }
}
