//! Incarnations of endpoints that have terminated but may be listed again by a store that was
//! restored from an older copy.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use crate::endpoint::Endpoint;

/// How long a terminated incarnation is remembered: the copies that a store is restored from are
/// some seconds old, and the store may be unavailable for as long before.
const MEMORY_TIME: Duration = Duration::from_mins(1);
/// Limit of remembered incarnations: all of 1,300 servers may be replaced within that time.
const ROWS_MAX: usize = 2_048;
/// How long the registration of an incarnation that terminated before the store's restore is
/// deferred. The store drops a registration after three missed heartbeats of 1.2 s, and one more
/// allows for a slow store. An endpoint that is still listed then writes to the store, and
/// therefore runs.
const CONFIRM_TIME: Duration = Duration::from_millis(4_800);

#[derive(Debug)]
struct Row {
    id: String,
    registered: Position,
    until: Instant,
}

/// The incarnations of endpoints that have terminated.
#[derive(Debug, Default)]
pub(super) struct Terminated {
    /// In the order of termination.
    rows: Vec<Row>,
    /// Those that the store lists again, with the time at which they are accepted.
    unconfirmed: Vec<(Endpoint, Instant)>,
}

impl Terminated {
    /// Records that an incarnation has terminated.
    pub(super) fn add(&mut self, endpoint: &Endpoint, now: Instant) {
        self.rows.retain(|row| row.until > now);
        if self.rows.len() >= ROWS_MAX {
            self.rows.remove(0);
        }
        self.rows.push(Row {
            id: endpoint.id.clone(),
            registered: endpoint.registered,
            until: now + MEMORY_TIME,
        });
    }

    /// Returns whether a registration may come from the older copy that the store was restored
    /// from, of an incarnation that had terminated before. Such a registration is deferred, and
    /// accepted later if it stays listed.
    pub(super) fn is_unconfirmed(&mut self, endpoint: &Endpoint, now: Instant) -> bool {
        let is_of_copy = |row: &Row| {
            row.id == endpoint.id
                && row.until > now
                && row.registered.era() < endpoint.registered.era()
                && row.registered.may_be_same(endpoint.registered)
        };
        if !self.rows.iter().any(is_of_copy) {
            return false;
        }
        let known = self
            .unconfirmed
            .iter_mut()
            .find(|(known, _)| known.id == endpoint.id);
        match known {
            Some((known, _)) => known.clone_from(endpoint),
            None => self
                .unconfirmed
                .push((endpoint.clone(), now + CONFIRM_TIME)),
        }
        true
    }

    /// Drops the unconfirmed registrations that the store no longer lists.
    pub(super) fn retain(&mut self, named: impl Fn(&str) -> bool) {
        self.unconfirmed.retain(|(known, _)| named(&known.instance));
    }

    /// Returns the registrations that have been listed long enough to be accepted.
    pub(super) fn settle(&mut self, now: Instant) -> Vec<Endpoint> {
        let due = |(_, at): &(Endpoint, Instant)| *at <= now;
        let settled = self.unconfirmed.extract_if(.., |row| due(row));
        let settled: Vec<_> = settled.map(|(endpoint, _)| endpoint).collect();
        for endpoint in &settled {
            self.rows.retain(|row| row.id != endpoint.id);
        }
        settled
    }
}
