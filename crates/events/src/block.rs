//! The lines between two empty lines.

use crate::fault::Fault;
use crate::ids::Ids;
use crate::line::Field;

/// The lines since the last empty line.
#[derive(Debug, Default)]
pub(crate) struct Block {
    id: Option<u64>,
    has_data: bool,
    has_other: bool,
}

/// What a complete block is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Event(Option<u64>),
    /// Comments, delays before a retry, or nothing.
    Filler,
}

impl Block {
    /// Adds a line to a block that follows the event `last`.
    pub(crate) fn add(
        &mut self,
        field: Field<'_>,
        ids: Ids,
        last: Option<u64>,
    ) -> Result<(), Fault> {
        match field {
            Field::Empty | Field::Comment | Field::Retry => {}
            Field::Data => self.has_data = true,
            Field::Other => self.has_other = true,
            Field::Id(_) if ids == Ids::Free => self.has_other = true,
            Field::Id(value) => {
                let id = value.and_then(number).ok_or(Fault::Id)?;
                if self.id.replace(id).is_some() {
                    return Err(Fault::TwoIds);
                }
                if let Some(last) = last.filter(|&last| id <= last) {
                    return Err(Fault::Order { id, last });
                }
            }
        }
        Ok(())
    }

    /// Returns whether a field of an event has been read.
    pub(crate) const fn has_begun(&self) -> bool {
        self.id.is_some() || self.has_data || self.has_other
    }

    /// Returns what the block is now that an empty line has ended it.
    pub(crate) const fn end(&self, ids: Ids) -> Result<Kind, Fault> {
        if !self.has_begun() {
            return Ok(Kind::Filler);
        }
        if self.id.is_none() && matches!(ids, Ids::Increasing) {
            return Err(Fault::NoId);
        }
        // Without data the id would move the place to resume at past an event that the caller
        // has not received.
        if !self.has_data {
            return Err(Fault::NoData);
        }
        Ok(Kind::Event(self.id))
    }
}

fn number(value: &[u8]) -> Option<u64> {
    let digits = value.trim_ascii();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_number)?
        .parse()
        .ok()
}
