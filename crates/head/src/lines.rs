//! The line ends of heads.

use crate::fault::Fault;

/// Where the first digit of the status stands, as in `HTTP/1.1 200`.
const STATUS_AT: usize = 9;
/// The first digit of the status of an interim response.
const INTERIM: u8 = b'1';

/// How a line ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    LineFeed,
    CarriageReturn,
}

/// What the next byte belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Place {
    #[default]
    StatusLine,
    Fields,
    Body,
}

/// Follows the lines of the heads of a response, up to its body, as the bytes arrive.
///
/// The HTTP library takes a line feed without a carriage return for the end of a line. In a head
/// whose other lines have both, it is a byte that was lost or replaced, and an empty line before it
/// would end the head where its endpoint did not.
#[derive(Debug, Default)]
pub struct Lines {
    place: Place,
    /// How the lines so far have ended.
    end: Option<End>,
    /// The length of the line so far, in bytes.
    length: usize,
    last: u8,
    is_interim: bool,
}

impl Lines {
    /// Reads the next bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::LineEnd`] at the first line that ends unlike those before it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        for byte in bytes {
            match (self.place, *byte) {
                (Place::Body, _) => break,
                (_, b'\n') => self.end_line()?,
                (_, byte) => self.push_byte(byte),
            }
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8) {
        if self.place == Place::StatusLine && self.length == STATUS_AT {
            self.is_interim = byte == INTERIM;
        }
        self.length += 1;
        self.last = byte;
    }

    fn end_line(&mut self) -> Result<(), Fault> {
        let (end, length) = match self.last {
            b'\r' => (End::CarriageReturn, self.length - 1),
            _ => (End::LineFeed, self.length),
        };
        if *self.end.get_or_insert(end) != end {
            return Err(Fault::LineEnd);
        }
        self.length = 0;
        self.last = b'\n';
        self.place = match self.place {
            Place::StatusLine if length > 0 => Place::Fields,
            Place::Fields if length == 0 && self.is_interim => Place::StatusLine,
            Place::Fields if length == 0 => Place::Body,
            place => place,
        };
        Ok(())
    }
}
