//! The calls to the platform that a node has open.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_member::Backoff;
use rand::Rng;

use crate::command::{Call, Command, Ticket};

/// The shortest time between two calls of the same purpose.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

/// What a call is for. At most one call is open for each.
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
    /// To read or write the own record.
    Own,
    /// To delete an expired record.
    Expire,
}

/// What has to be read at once, since a watch or a peer told of it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Stale {
    /// Revisions in between are missing, so that only a snapshot leads on.
    pub(crate) settings: bool,
    /// The roster has changed.
    pub(crate) members: bool,
    /// When to read, since peers hold more for long and could not bring this
    /// process up to date.
    pub(crate) fallback_at: Option<Instant>,
}

/// The calls to the platform that a node has open, with their pauses.
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

    /// Tells whether a call for `purpose` may be made at `now`.
    pub(crate) fn free(&self, purpose: Purpose, now: Instant) -> bool {
        let open = self.open.values().any(|other| *other == purpose);
        let paced = self.paced.get(&purpose).is_some_and(|until| now < *until);
        // The own record has pauses of its own.
        !open && !paced && (purpose == Purpose::Own || self.backoff.ready(now))
    }

    /// Makes the call.
    pub(crate) fn make(&mut self, purpose: Purpose, call: Call, now: Instant) -> Command {
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

    /// Notes that the platform answered.
    pub(crate) const fn succeed(&mut self, now: Instant) {
        self.answered = Some(now);
        self.backoff.succeed();
    }

    /// Notes that a call failed.
    pub(crate) fn fail<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        self.backoff.fail(now, rng);
    }

    /// Holds the next calls back by up to `spread`.
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
