//! Endpoints that have said in an answer that they leave.
//!
//! The store may know of it later or not at all, or be away: what this entry was told holds for
//! that life of the endpoint, whatever the store says of it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use crate::endpoint::Endpoint;

/// How long it is remembered: an endpoint that leaves ends within seconds, and its
/// registration a few later.
const MEMORY_TIME: Duration = Duration::from_mins(10);
/// The most that are remembered: all of 1,300 endpoints may be replaced within that time.
const ROWS_MAX: usize = 2_048;

#[derive(Debug)]
struct Row {
    id: String,
    registered: Position,
    until: Instant,
}

/// The lives of endpoints that have said that they leave.
#[derive(Debug, Default)]
pub(super) struct LeavingNotices {
    /// In the order in which they said so.
    rows: Vec<Row>,
}

impl LeavingNotices {
    /// Takes that a life says that it leaves; tells whether that is new.
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

    /// Tells whether a registration is of a life that leaves. One that doesn't say when it
    /// started is a new life if it was registered later.
    pub(super) fn covers(&self, endpoint: &Endpoint) -> bool {
        let is_new = |row: &Row| endpoint.born.is_none() && endpoint.registered > row.registered;
        let same = |row: &&Row| row.id == endpoint.id && !is_new(row);
        self.rows.iter().any(|row| same(&row))
    }
}
