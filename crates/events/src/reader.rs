//! The reader of a stream.

use bytes::{Bytes, BytesMut};

use crate::block::{Block, Kind};
use crate::fault::Fault;
use crate::ids::Ids;
use crate::line::{Field, Line, MARK};
use crate::text::Text;

/// The most bytes that are held back. A longer event is passed on as it arrives but for its end,
/// and the stream can't be resumed within it.
const HELD_MAX: usize = 64 * 1024;

/// Passes on the events of a stream as soon as each is complete and shown to be one. A caller that
/// has received complete events alone can be continued by another endpoint.
///
/// Comments, delays before a retry and empty lines between events are passed on with the event
/// that follows them, or with the end of the stream.
#[derive(Debug)]
pub struct Reader {
    ids: Ids,
    last: Option<u64>,
    events: u64,
    /// What has arrived and is not passed on.
    held: BytesMut,
    text: Text,
    line: Line,
    block: Block,
    /// Whether the response continues that of another endpoint.
    is_continuation: bool,
    /// Whether a line feed that comes next belongs to the line before it.
    after_return: bool,
    /// Whether a part of the incomplete event was passed on.
    is_exposed: bool,
    fault: Option<Fault>,
}

impl Reader {
    /// Creates the reader of a stream that continues after the event `last`.
    #[must_use]
    pub fn new(ids: Ids, last: Option<u64>) -> Self {
        Self {
            ids,
            last,
            events: 0,
            held: BytesMut::new(),
            text: Text::default(),
            line: Line::first(),
            block: Block::default(),
            is_continuation: false,
            after_return: false,
            is_exposed: false,
            fault: None,
        }
    }

    /// Returns the id of the last complete event, or of the one before the stream.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of complete events.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes that have arrived and were not passed on.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns why the bytes that follow the last complete event are none.
    #[must_use]
    pub const fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Returns whether another endpoint can continue the stream: nothing of an incomplete event
    /// was passed on.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        !self.is_exposed
    }

    /// Adds bytes and returns those that can be passed on. After a fault nothing is.
    pub fn push(&mut self, data: &Bytes) -> Bytes {
        if self.fault.is_some() {
            return Bytes::new();
        }
        let before = self.held.len();
        let end = self.scan(data);
        let mut passed = match end {
            Some(end) if before == 0 => {
                self.held.extend_from_slice(&data[end..]);
                data.slice(..end)
            }
            Some(end) => {
                self.held.extend_from_slice(data);
                self.held.split_to(before + end).freeze()
            }
            None => {
                self.held.extend_from_slice(data);
                Bytes::new()
            }
        };
        if !passed.is_empty() {
            self.is_exposed = false;
            passed = self.without_mark(passed);
        }
        if self.fault.is_some() || !(self.is_exposed || self.held.len() > HELD_MAX) {
            return passed;
        }
        self.expose(passed)
    }

    /// Ends the response and returns what is left to pass on: comments and empty lines.
    ///
    /// # Errors
    ///
    /// Returns the fault of the stream, or [`Fault::Unfinished`] if the response ended within an
    /// event.
    pub fn finish(&mut self) -> Result<Bytes, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        if self.block.has_begun() || !self.line.is_empty() {
            return Err(Fault::Unfinished);
        }
        let rest = self.held.split().freeze();
        Ok(self.without_mark(rest))
    }

    /// Drops what was not passed on, before another endpoint continues the stream.
    pub fn restart(&mut self) {
        *self = Self {
            events: self.events,
            is_continuation: true,
            ..Self::new(self.ids, self.last)
        };
    }

    /// Reads bytes and returns the position after the last event that they complete.
    fn scan(&mut self, data: &[u8]) -> Option<usize> {
        let valid = self.text.valid(data);
        let (mut at, mut end) = (0, None);
        while at < valid {
            if std::mem::take(&mut self.after_return) && data[at] == b'\n' {
                at += 1;
                continue;
            }
            let rest = &data[at..valid];
            let line_end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
            let line = &rest[..line_end.unwrap_or(rest.len())];
            if let Err(fault) = self.line.extend(line) {
                self.fault = Some(fault);
                return end;
            }
            let Some(line_end) = line_end else {
                break;
            };
            at += line_end + 1;
            if rest[line_end] == b'\r' {
                let feed = usize::from(data[at..valid].starts_with(b"\n"));
                self.after_return = feed == 0;
                at += feed;
            }
            match self.end_line() {
                Ok(true) => end = Some(at),
                Ok(false) => {}
                Err(fault) => {
                    self.fault = Some(fault);
                    return end;
                }
            }
        }
        if valid < data.len() {
            self.fault = Some(Fault::Text);
        }
        end
    }

    /// Ends a line and returns whether it ends an event.
    fn end_line(&mut self) -> Result<bool, Fault> {
        let field = self.line.field()?;
        let ends_block = field == Field::Empty;
        self.block.add(field, self.ids, self.last)?;
        self.line.clear();
        if !ends_block {
            return Ok(false);
        }
        let kind = self.block.end(self.ids)?;
        self.block = Block::default();
        let Kind::Event(id) = kind else {
            return Ok(false);
        };
        self.last = id.or(self.last);
        self.events += 1;
        Ok(true)
    }

    /// Passes on the part of a long event that has arrived.
    fn expose(&mut self, passed: Bytes) -> Bytes {
        if !self.block.has_begun() && !self.line.begins_event() {
            self.fault = Some(Fault::Filler);
            return passed;
        }
        self.is_exposed = true;
        let part = self.held.split().freeze();
        let part = self.without_mark(part);
        if passed.is_empty() {
            return part;
        }
        [passed, part].concat().into()
    }

    /// Removes the byte order mark of a response that continues another one.
    fn without_mark(&mut self, passed: Bytes) -> Bytes {
        let is_start = std::mem::take(&mut self.is_continuation);
        if is_start && passed.starts_with(MARK) {
            return passed.slice(MARK.len()..);
        }
        passed
    }
}
