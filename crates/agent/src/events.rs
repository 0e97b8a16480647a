//! Splits an event stream into events.

use bytes::{Bytes, BytesMut};

/// The blank line that ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// The data of the event that ends an answer.
const DONE: &[u8] = b"data: [DONE]";

/// Splits the chunks of an event stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: BytesMut,
    done: bool,
}

impl Events {
    /// Appends a chunk received from the endpoint.
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        let at = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|window| window == SEPARATOR)?;
        let event = self.buffer.split_to(at + SEPARATOR.len()).freeze();
        self.done |= event.starts_with(DONE);
        Some(event)
    }

    /// Returns whether the final event has been read and nothing follows it.
    pub(crate) fn is_done(&self) -> bool {
        self.done && self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub(crate) fn waiting(&self) -> usize {
        self.buffer.len()
    }
}
