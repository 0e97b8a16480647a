//! How far an entry's knowledge of endpoints reaches, and how far the store is.

use crate::position::Position;

/// How far an entry's knowledge of endpoints reaches, and how far the store is
/// known to be.
///
/// A watch that waits proves nothing: a store that turns a host away may leave
/// it hanging, and the connection looks sound. Calls that don't wait, this
/// entry's and others', tell how far the store is; an entry that is behind asks
/// for what it lacks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    known: Position,
    reached: Position,
}

impl Progress {
    /// Returns the position up to which all changes of endpoints are known.
    #[must_use]
    pub const fn known(&self) -> Position {
        self.known
    }

    /// Returns the position that the store has surely reached.
    #[must_use]
    pub const fn reached(&self) -> Position {
        self.reached
    }

    /// Notes that all changes up to `position` are known. Of a newer era it takes the place
    /// of all before.
    pub fn advance(&mut self, position: Position) {
        self.known = self.known.newest(position);
        self.reached = self.reached.newest(self.known);
    }

    /// Notes that the store has reached `position`, if that is of the known era.
    pub fn record_reached(&mut self, position: Position) {
        if position > self.reached {
            self.reached = position;
        }
    }

    /// Tells whether the store has gone on beyond what is known.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.known < self.reached
    }

    /// Tells whether all changes after `from` up to `to`, in order, lead on from
    /// what is known. Some of them may be known already: a change states the
    /// whole endpoint, and later ones are among them.
    #[must_use]
    pub fn continues(&self, from: Position, to: Position) -> bool {
        from <= self.known && self.known < to
    }
}
