//! A line of a stream, of which the beginning is kept.

use crate::fault::Fault;

/// The longest name of a field.
const NAME_MAX: usize = 32;
/// The bytes that are kept of a line: a name, a colon and a number.
const KEPT_MAX: usize = 64;
/// The byte order mark, which may precede the first line of a response.
pub(crate) const MARK: &[u8] = "\u{feff}".as_bytes();

/// What a line says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Field<'a> {
    Empty,
    Comment,
    Data,
    /// An id; `None` if it is too long to be a number.
    Id(Option<&'a [u8]>),
    Retry,
    Other,
}

/// A line that may be incomplete.
#[derive(Debug)]
pub(crate) struct Line {
    kept: Vec<u8>,
    length: usize,
    /// Whether the name of the field, or the colon of a comment, has been read.
    named: bool,
    /// Whether it is the first line of a response.
    is_first: bool,
}

impl Line {
    /// Creates the first line of a response.
    pub(crate) const fn first() -> Self {
        Self {
            kept: Vec::new(),
            length: 0,
            named: false,
            is_first: true,
        }
    }

    /// Appends bytes.
    pub(crate) fn extend(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let room = KEPT_MAX.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&bytes[..bytes.len().min(room)]);
        self.length += bytes.len();
        if !self.named {
            self.named = self.check_name()?;
        }
        Ok(())
    }

    /// Returns whether nothing of the line but a byte order mark has arrived.
    pub(crate) fn is_empty(&self) -> bool {
        self.text().is_empty()
    }

    /// Returns what the complete line says.
    pub(crate) fn field(&self) -> Result<Field<'_>, Fault> {
        let text = self.text();
        if text.is_empty() {
            return Ok(Field::Empty);
        }
        let (name, value) = match text.iter().position(|&byte| byte == b':') {
            Some(colon) => (&text[..colon], Some(&text[colon + 1..])),
            None => (text, None),
        };
        match (name, value) {
            (b"", _) => Ok(Field::Comment),
            (b"data", _) => Ok(Field::Data),
            (b"id", value) => {
                let is_kept = self.length <= KEPT_MAX;
                Ok(Field::Id(value.filter(|_| is_kept)))
            }
            (b"retry", _) => Ok(Field::Retry),
            (b"event", _) | (_, Some(_)) => Ok(Field::Other),
            (_, None) => Err(Fault::Line),
        }
    }

    /// Returns whether the line, of which at least a name has arrived, is a field of an event.
    pub(crate) fn begins_event(&self) -> bool {
        let text = self.text();
        !text.is_empty() && !text.starts_with(b":") && !text.starts_with(b"retry")
    }

    /// Begins the next line.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
        self.length = 0;
        self.named = false;
        self.is_first = false;
    }

    /// Returns whether the name is complete, or an error if it can't become one.
    fn check_name(&self) -> Result<bool, Fault> {
        let text = self.text();
        let colon = text.iter().position(|&byte| byte == b':');
        let name = &text[..colon.unwrap_or(text.len())];
        let is_mark = self.is_first && colon.is_none() && MARK.starts_with(text);
        let is_name = name.iter().enumerate().all(|(at, byte)| match byte {
            b'a'..=b'z' => true,
            b'0'..=b'9' | b'-' | b'_' => at > 0,
            _ => false,
        });
        if is_mark || is_name && name.len() <= NAME_MAX {
            Ok(colon.is_some())
        } else {
            Err(Fault::Line)
        }
    }

    /// Returns what is kept of the line without a byte order mark.
    fn text(&self) -> &[u8] {
        let mark = if self.is_first { MARK } else { b"" };
        self.kept.strip_prefix(mark).unwrap_or(&self.kept)
    }
}
