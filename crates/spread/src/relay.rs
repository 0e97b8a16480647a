//! Pings on behalf of other processes.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;

/// How long a request waits for a message of its target.
const OPEN: Duration = Duration::from_secs(2);

/// The maximum number of open requests.
const LIMIT: usize = 32;

/// A request to ping a process on behalf of another.
#[derive(Debug)]
struct Relay {
    requester: Process,
    target: Process,
    since: Instant,
}

/// The requests whose targets have not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    open: Vec<Relay>,
}

impl Relays {
    /// Opens a request; returns false if the limit of open requests is reached.
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

    /// Closes the requests for `target`, which has sent a message, and returns
    /// their requesters.
    pub(crate) fn close(&mut self, target: &Process, now: Instant) -> Vec<Process> {
        let found = self.open.extract_if(.., |relay| relay.target == *target);
        found
            .filter(|relay| now.saturating_duration_since(relay.since) < OPEN)
            .map(|relay| relay.requester)
            .collect()
    }
}
