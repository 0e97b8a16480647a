//! Lives of endpoints that have ended, which a store that came back from an older copy names
//! once more.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use crate::endpoint::Endpoint;

/// How long an ended life is remembered: copies that a store comes back from are some seconds
/// old, and a store may be away for as long before.
const MEMORY_TIME: Duration = Duration::from_mins(1);
/// The most lives that are remembered: all of 1,300 servers may be replaced within that time.
const ROWS_MAX: usize = 2_048;
/// How long a life is not taken that has ended before the store came back: the store drops
/// it after three heartbeats of 1.2 s without one, and one more is for a store that is slow. One
/// that is named still writes to the store, so it lives.
const CONFIRM_TIME: Duration = Duration::from_millis(4_800);

#[derive(Debug)]
struct Row {
    id: String,
    registered: Position,
    until: Instant,
}

/// The lives of endpoints that have ended.
#[derive(Debug, Default)]
pub(super) struct Terminated {
    /// In the order of their ends.
    rows: Vec<Row>,
    /// Those that the store names again, with when they are taken.
    unconfirmed: Vec<(Endpoint, Instant)>,
}

impl Terminated {
    /// Takes that a life has ended.
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

    /// Tells whether a registration may be one that was gone already, and comes from the copy
    /// that the store came back from; it is taken later if it stays.
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

    /// Keeps what is doubted only if the store still names it.
    pub(super) fn retain(&mut self, named: impl Fn(&str) -> bool) {
        self.unconfirmed.retain(|(known, _)| named(&known.instance));
    }

    /// Returns those that have been named for so long that they live.
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
