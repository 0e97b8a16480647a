//! Whether a process may serve.

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::{number, record};
use cactusnotch_objects::object::Version;

/// Whether a process may serve.
#[number]
pub enum Standing {
    /// It has not learnt the newest revision that it can prove yet, or was
    /// out of touch and is learning it again. It takes no new work.
    #[default]
    Joining,
    /// It serves.
    Serving,
    /// It finishes what runs and takes no new work.
    Leaving,
    /// Neither a peer nor the platform was heard for long. It takes no new
    /// work.
    Isolated,
    /// A later life of the same name is registered. It stops.
    Superseded,
}

/// How far a process has come in learning the newest revision.
#[record]
#[derive(Copy)]
pub(crate) struct Join {
    /// Only answers to questions asked from then on count.
    pub(crate) from: Instant,
    /// The version of the own record after whose writing the settings were
    /// read, if they were.
    pub(crate) read: Option<Version>,
    /// The own record's version when the settings were last asked for.
    pub(crate) asked_after: Option<Version>,
    /// Whether the process has caught up since it last entered.
    pub(crate) complete: bool,
    /// Whether the process has caught up at least once in this life.
    pub(crate) caught_up: bool,
}

impl Join {
    pub(crate) const fn new(from: Instant) -> Self {
        Self {
            from,
            read: None,
            asked_after: None,
            complete: false,
            caught_up: false,
        }
    }

    /// Enters anew; only answers to questions asked from `from` on count.
    pub(crate) const fn reset(&mut self, from: Instant) {
        self.from = from;
        self.read = None;
        self.asked_after = None;
        self.complete = false;
    }

    pub(crate) const fn finish(&mut self) {
        self.complete = true;
        self.caught_up = true;
    }
}
