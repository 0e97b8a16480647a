//! Splits an event stream into events.

use bytes::{Bytes, BytesMut};
use cactusnotch_events::{Fault, Ids, Reader};

/// The blank line that ends an event.
const SEPARATOR: &[u8] = b"\n\n";

/// The data of the event that ends an answer.
const DONE: &[u8] = b"data: [DONE]";

/// Splits the chunks of an event stream into complete events.
#[derive(Debug)]
pub(crate) struct Events {
    reader: Reader,
    buffer: BytesMut,
    done: bool,
}

impl Default for Events {
    fn default() -> Self {
        Self {
            reader: Reader::new(Ids::Free, None),
            buffer: BytesMut::new(),
            done: false,
        }
    }
}

impl Events {
    /// Appends a chunk received from the endpoint.
    pub(crate) fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(&self.reader.push(chunk));
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

    /// Returns why the bytes that follow the last event are none.
    pub(crate) const fn fault(&self) -> Option<Fault> {
        self.reader.fault()
    }

    /// Returns whether the final event has been read and nothing follows it.
    pub(crate) fn is_done(&self) -> bool {
        self.done && self.waiting() == 0
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub(crate) fn waiting(&self) -> usize {
        self.buffer.len() + self.reader.held()
    }
}
