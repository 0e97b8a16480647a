//! Pings on behalf of others.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;

/// How long a target is listened for on behalf of another.
const OPEN: Duration = Duration::from_secs(2);

/// How many requests are open at once.
const LIMIT: usize = 32;

/// A request to ping a process on behalf of another.
#[derive(Debug)]
struct Relay {
    requester: Process,
    target: Process,
    since: Instant,
}

/// Pings on behalf of others that have not been answered.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    open: Vec<Relay>,
}

impl Relays {
    /// Opens a request and tells whether there was room.
    pub(crate) fn open(&mut self, requester: &Process, target: &Process, now: Instant) -> bool {
        self.open
            .retain(|relay| now.saturating_duration_since(relay.since) < OPEN);
        let room = self.open.len() < LIMIT;
        if room {
            self.open.push(Relay {
                requester: requester.clone(),
                target: target.clone(),
                since: now,
            });
        }
        room
    }

    /// Closes the requests for `target`, which was heard, and returns who
    /// asked.
    pub(crate) fn close(&mut self, target: &Process, now: Instant) -> Vec<Process> {
        let found = self.open.extract_if(.., |relay| relay.target == *target);
        found
            .filter(|relay| now.saturating_duration_since(relay.since) < OPEN)
            .map(|relay| relay.requester)
            .collect()
    }
}
