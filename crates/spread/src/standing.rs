//! The standing of a process, which determines whether it may serve.

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::{number, record};
use cactusnotch_objects::object::Version;

/// Whether a process may serve.
#[number]
pub enum Standing {
    /// It has not yet confirmed that it holds the newest revision, or was
    /// isolated and is confirming it again. It accepts no new work.
    #[default]
    Joining,
    /// It serves.
    Serving,
    /// It completes running work and accepts no new work.
    Leaving,
    /// Neither a peer nor the platform has answered within the isolation
    /// time-out. It accepts no new work.
    Isolated,
    /// A later incarnation of the same name is registered. It stops.
    Superseded,
}

/// The progress of a process in obtaining the newest revision.
#[record]
#[derive(Copy)]
pub(crate) struct Join {
    /// Only answers to pings sent from this time on count.
    pub(crate) from: Instant,
    /// The version of the process's own record after whose write the settings
    /// were read, if they were.
    pub(crate) read: Option<Version>,
    /// The version of the process's own record when the settings were last
    /// requested.
    pub(crate) requested_after: Option<Version>,
    /// Whether the process has caught up since it last started to join.
    pub(crate) complete: bool,
    /// Whether the process has caught up at least once since it started.
    pub(crate) caught_up: bool,
}

impl Join {
    pub(crate) const fn new(from: Instant) -> Self {
        Self {
            from,
            read: None,
            requested_after: None,
            complete: false,
            caught_up: false,
        }
    }

    /// Restarts the join; only answers to pings sent from `from` on count.
    pub(crate) const fn reset(&mut self, from: Instant) {
        self.from = from;
        self.read = None;
        self.requested_after = None;
        self.complete = false;
    }

    pub(crate) const fn finish(&mut self) {
        self.complete = true;
        self.caught_up = true;
    }
}
