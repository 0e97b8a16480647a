//! The division of an event stream into its events.

use bytes::{Bytes, BytesMut};

/// The blank line that ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// The data of the event that ends an answer.
const DONE: &[u8] = b"data: [DONE]";

/// Divides the chunks of an event stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: BytesMut,
    done: bool,
}

impl Events {
    /// Adds a chunk as the endpoint sent it.
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next whole event out.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        let at = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|window| window == SEPARATOR)?;
        let event = self.buffer.split_to(at + SEPARATOR.len()).freeze();
        self.done |= event.starts_with(DONE);
        Some(event)
    }

    /// Tells whether the event that ends an answer was the last thing seen.
    pub(crate) fn is_done(&self) -> bool {
        self.done && self.buffer.is_empty()
    }

    /// Returns the bytes that wait for the end of their event.
    pub(crate) fn waiting(&self) -> usize {
        self.buffer.len()
    }
}
