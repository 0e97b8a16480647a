//! How far an entry's knowledge of endpoints reaches, and how far the store is.

use crate::store::Revision;

/// How far an entry's knowledge of endpoints reaches, and how far the store is
/// known to be.
///
/// A watch that waits proves nothing: a store that turns a host away may leave
/// it hanging, and the connection looks sound. Calls that don't wait, this
/// entry's and others', tell how far the store is; an entry that is behind asks
/// for what it lacks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    known: Revision,
    reached: Revision,
}

impl Progress {
    /// Returns the revision up to which all changes of endpoints are known.
    #[must_use]
    pub const fn known(&self) -> Revision {
        self.known
    }

    /// Returns the revision that the store has surely reached.
    #[must_use]
    pub const fn reached(&self) -> Revision {
        self.reached
    }

    /// Notes that all changes up to `revision` are known.
    pub fn know(&mut self, revision: Revision) {
        self.known = self.known.max(revision);
        self.reach(revision);
    }

    /// Notes that the store has reached `revision`.
    pub fn reach(&mut self, revision: Revision) {
        self.reached = self.reached.max(revision);
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
    pub fn continues(&self, from: Revision, to: Revision) -> bool {
        from <= self.known && self.known < to
    }
}
