//! The open calls of a node to the platform.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_member::Backoff;
use rand::Rng;

use crate::command::{Call, Command, Ticket};

/// The minimum interval between two calls of the same purpose.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

/// The purpose of a call. At most one call is open for each purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Purpose {
    /// To wait for revisions.
    WatchSettings,
    /// To wait for changes of the roster.
    WatchMembers,
    /// To read revisions at once.
    ReadSettings,
    /// To read changes of the roster at once.
    ReadMembers,
    /// To read or write the process's own record.
    Own,
    /// To delete an expired record.
    Expire,
}

/// State that is stale, as indicated by a watch or a peer, and has to be read.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Stale {
    /// Intermediate revisions are missing; a snapshot is needed.
    pub(crate) settings: bool,
    /// The roster has changed.
    pub(crate) members: bool,
    /// When to read the platform, since peers hold more and have failed to bring
    /// this process up to date.
    pub(crate) fallback_at: Option<Instant>,
}

/// The open calls of a node to the platform, with their back-off.
#[derive(Debug)]
pub(crate) struct Calls {
    open: Table<Ticket, Purpose>,
    paced: Table<Purpose, Instant>,
    backoff: Backoff,
    tickets: u64,
    answered: Option<Instant>,
}

impl Calls {
    pub(crate) fn new(backoff: Backoff) -> Self {
        Self {
            open: Table::new(),
            paced: Table::new(),
            backoff,
            tickets: 0,
            answered: None,
        }
    }

    /// Returns whether a call for `purpose` may be made at `now`.
    pub(crate) fn may_call(&self, purpose: Purpose, now: Instant) -> bool {
        let open = self.open.values().any(|other| *other == purpose);
        let paced = self.paced.get(&purpose).is_some_and(|until| now < *until);
        // Calls for the own record have a separate back-off.
        !open && !paced && (purpose == Purpose::Own || self.backoff.ready(now))
    }

    /// Opens a call.
    pub(crate) fn open_call(&mut self, purpose: Purpose, call: Call, now: Instant) -> Command {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.open.insert(ticket, purpose);
        self.paced.insert(purpose, now + CALL_INTERVAL);
        Command::Call { ticket, call }
    }

    /// Closes the call with `ticket` and returns its purpose; `None` if it was
    /// answered before.
    pub(crate) fn close(&mut self, ticket: Ticket) -> Option<Purpose> {
        self.open.remove(&ticket)
    }

    /// Records that the platform answered.
    pub(crate) const fn succeed(&mut self, now: Instant) {
        self.answered = Some(now);
        self.backoff.succeed();
    }

    /// Records that a call failed.
    pub(crate) fn fail<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        self.backoff.fail(now, rng);
    }

    /// Delays the next calls by a random time of up to `spread`.
    pub(crate) fn delay<R: Rng>(&mut self, now: Instant, spread: Duration, rng: &mut R) {
        self.backoff.delay(now, spread, rng);
    }

    /// Returns how many calls have failed since the last answer.
    pub(crate) const fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Returns when the platform answered last.
    pub(crate) const fn answered(&self) -> Option<Instant> {
        self.answered
    }
}
