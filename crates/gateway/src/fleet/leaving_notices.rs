//! Endpoints that announced in an answer that they are leaving.
//!
//! The store may receive the notice later or never, or be unavailable. A notice therefore holds
//! for that incarnation of the endpoint, regardless of its registration in the store.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use crate::endpoint::Endpoint;

/// How long a notice is kept. A leaving endpoint terminates within seconds, and its
/// registration lapses a few seconds later.
const MEMORY_TIME: Duration = Duration::from_mins(10);
/// Limit of kept notices: all of 1,300 endpoints may be replaced within that time.
const ROWS_MAX: usize = 2_048;

#[derive(Debug)]
struct Row {
    id: String,
    registered: Position,
    until: Instant,
}

/// The incarnations of endpoints that announced that they are leaving.
#[derive(Debug, Default)]
pub(super) struct LeavingNotices {
    /// In the order of the notices.
    rows: Vec<Row>,
}

impl LeavingNotices {
    /// Records the notice of an incarnation; returns whether it is new.
    pub(super) fn add(&mut self, endpoint: &Endpoint, now: Instant) -> bool {
        self.rows.retain(|row| row.until > now);
        if self.covers(endpoint) {
            return false;
        }
        if self.rows.len() >= ROWS_MAX {
            self.rows.remove(0);
        }
        self.rows.push(Row {
            id: endpoint.id.clone(),
            registered: endpoint.registered,
            until: now + MEMORY_TIME,
        });
        true
    }

    /// Returns whether a registration belongs to an incarnation that is leaving. A registration
    /// without a start time belongs to a new incarnation if it is later.
    pub(super) fn covers(&self, endpoint: &Endpoint) -> bool {
        let is_new = |row: &Row| endpoint.born.is_none() && endpoint.registered > row.registered;
        let same = |row: &&Row| row.id == endpoint.id && !is_new(row);
        self.rows.iter().any(|row| same(&row))
    }
}
