//! Splits streams at the boundaries of their events.

use bytes::{Bytes, BytesMut};

/// The most bytes of an incomplete event that are buffered. A longer event is
/// relayed as it arrives, and the stream can't be resumed within it.
const EVENT_MAX: usize = 64 * 1024;

/// Splits a stream after complete events. A caller that has received only
/// complete events can be continued by another endpoint.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
        }
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops an incomplete event, which another endpoint will send completely.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes and returns all events that are complete.
    pub fn push(&mut self, data: &Bytes) -> Bytes {
        let whole = if self.partial.is_empty() {
            let end = boundary(data);
            self.partial.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            self.partial.extend_from_slice(data);
            let end = boundary(&self.partial);
            self.partial.split_to(end).freeze()
        };
        self.record_ids(&whole);
        if self.partial.len() > EVENT_MAX {
            return self.partial.split().freeze();
        }
        whole
    }

    fn record_ids(&mut self, events: &[u8]) {
        let lines = events.split(|&byte| byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let mut numbers = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        if let Some(last) = numbers.next_back() {
            self.last = Some(last);
        }
    }
}

/// Returns the position after the last empty line.
fn boundary(data: &[u8]) -> usize {
    let ends_event = |at: usize| {
        let before = data[..at].strip_suffix(b"\r").unwrap_or(&data[..at]);
        before.ends_with(b"\n")
    };
    let newlines = (0..data.len()).rev().filter(|&at| data[at] == b'\n');
    newlines
        .into_iter()
        .find(|&at| ends_event(at))
        .map_or(0, |at| at + 1)
}
