//! The progress of an entry in following the changes of endpoints in the store.

use crate::position::Position;

/// The position up to which an entry has applied the changes of endpoints, and
/// the position that the store is known to have reached.
///
/// A pending watch does not show that the entry is up to date: a store that
/// rejects a host may leave the watch open, on a connection that looks intact.
/// Calls that return at once, by this entry and by others, show the position of
/// the store. An entry that is behind requests the missing changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    known: Position,
    reached: Position,
}

impl Progress {
    /// Returns the position up to which all changes of endpoints were applied.
    #[must_use]
    pub const fn known(&self) -> Position {
        self.known
    }

    /// Returns the position that the store is known to have reached.
    #[must_use]
    pub const fn reached(&self) -> Position {
        self.reached
    }

    /// Records that all changes up to `position` were applied. A position of a newer era
    /// replaces the present one.
    pub fn advance(&mut self, position: Position) {
        self.known = self.known.newest(position);
        self.reached = self.reached.newest(self.known);
    }

    /// Records that the store has reached `position`, unless it belongs to another era.
    pub fn record_reached(&mut self, position: Position) {
        if position > self.reached {
            self.reached = position;
        }
    }

    /// Returns whether the store has reached a later position than was applied.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.known < self.reached
    }

    /// Returns whether the changes after `from` up to `to` can be applied without
    /// a gap and contain new ones. Some of them may have been applied already,
    /// which is harmless: each change carries the complete endpoint, and the
    /// later changes are part of the batch.
    #[must_use]
    pub fn continues(&self, from: Position, to: Position) -> bool {
        from <= self.known && self.known < to
    }
}
