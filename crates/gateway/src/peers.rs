//! Which other entries are there and ready.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;

use crate::peer::Entry;

/// How long a statement of readiness counts: two lost datagrams are borne, and
/// a dead entry is off the lists before callers' next question.
const STATE_TIME: Duration = Duration::from_millis(1_700);
/// The most entries that are asked, so that the cost stays the same however many there
/// are. Those that ask tell how they are too, so that up to 31 know of each other.
pub const POLLED_MAX: usize = 16;
/// How many of them are the first of the data centre by name, which watch the store and
/// prove its state for the others; the rest follow this entry by name, and begin again
/// after the last, so that each is asked by equally many.
const POLLED_FIRST: usize = 2;
/// The entries from which on a list is long enough to stay within the
/// caller's data centre.
const LIST_MIN: usize = 2;

#[derive(Debug)]
struct Row {
    entry: Entry,
    ready: bool,
    last_seen: Option<Instant>,
}

impl Row {
    fn ready(&self, now: Instant) -> bool {
        self.ready && self.alive(now)
    }

    fn alive(&self, now: Instant) -> bool {
        self.last_seen
            .is_some_and(|at| now.saturating_duration_since(at) < STATE_TIME)
    }
}

/// The other entries, by host.
#[derive(Debug)]
pub struct Peers {
    data_centre: String,
    host: String,
    rows: Table<String, Row>,
}

impl Peers {
    /// Creates the list of an entry that knows no others.
    #[must_use]
    pub fn new(host: &str, data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            host: host.to_owned(),
            rows: Table::new(),
        }
    }

    /// Takes an entry's registration.
    pub fn insert(&mut self, entry: Entry) {
        if entry.host == self.host {
            return;
        }
        let row = self.rows.get_or_insert_with(entry.host.clone(), || Row {
            entry: entry.clone(),
            ready: false,
            last_seen: None,
        });
        if row.entry != entry {
            *row = Row {
                entry,
                ready: false,
                last_seen: None,
            };
        }
    }

    /// Takes that an entry withdrew.
    pub fn remove(&mut self, host: &str) {
        self.rows.remove(host);
    }

    /// Returns the hosts of all entries, this one included, in no order.
    #[must_use]
    pub fn hosts(&self) -> Vec<&str> {
        let others = self.rows.iter().map(|(host, _)| host.as_str());
        others.chain([self.host.as_str()]).collect()
    }

    /// Returns how many entries there may be, this one included.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.rows.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns how many ready entries of this data centre come before this one
    /// in the order of names.
    #[must_use]
    pub fn ready_before(&self, now: Instant) -> u32 {
        let before = |row: &&Row| {
            row.entry.data_centre == self.data_centre
                && row.entry.host < self.host
                && row.ready(now)
        };
        u32::try_from(self.rows.values().filter(before).count()).unwrap_or(u32::MAX)
    }

    /// Returns how many entries of this data centre that are heard come before this one in
    /// the order of names; `None` if others are known and none is heard.
    #[must_use]
    pub fn alive_before(&self, now: Instant) -> Option<u32> {
        let responsive = || self.rows.values().filter(|row| row.alive(now));
        if !self.rows.is_empty() && responsive().next().is_none() {
            return None;
        }
        let before =
            |row: &&Row| row.entry.data_centre == self.data_centre && row.entry.host < self.host;
        let count = responsive().filter(before).count();
        Some(u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns where the entries of this data centre take datagrams.
    #[must_use]
    pub fn in_data_centre(&self) -> Vec<SocketAddr> {
        let near = |row: &&Row| row.entry.data_centre == self.data_centre;
        let rows = self.rows.values().filter(near);
        rows.map(|row| row.entry.peers).collect()
    }

    /// Returns where all other entries take datagrams.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        self.rows.values().map(|row| row.entry.peers).collect()
    }

    /// Returns where to ask for statements: entries of this data centre, and a few others
    /// if there are not enough.
    #[must_use]
    pub fn polled(&self) -> Vec<SocketAddr> {
        let near = |row: &&Row| row.entry.data_centre == self.data_centre;
        let rows = || self.rows.values();
        let mut polled: Vec<_> = rows().filter(near).map(|row| row.entry.peers).collect();
        if polled.len() < LIST_MIN {
            polled.extend(rows().filter(|row| !near(row)).map(|row| row.entry.peers));
        } else if polled.len() > POLLED_MAX {
            let before = rows().filter(near).filter(|row| row.entry.host < self.host);
            // The first stay in front, the others begin after this entry.
            let others = &mut polled[POLLED_FIRST..];
            others.rotate_left(before.count().saturating_sub(POLLED_FIRST) % others.len());
        }
        polled.truncate(POLLED_MAX);
        polled
    }

    /// Takes a statement; returns the entry's host if it changed.
    pub fn record_state(&mut self, from: SocketAddr, ready: bool, now: Instant) -> Option<&str> {
        let found = self
            .rows
            .iter_mut()
            .map(|(_, row)| row)
            .find(|row| row.entry.peers == from);
        let row = found?;
        let changed = row.ready(now) != ready;
        row.ready = ready;
        row.last_seen = Some(now);
        changed.then_some(row.entry.host.as_str())
    }

    /// Takes entries that have fallen silent for unready; returns their hosts.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let silent = |row: &Row| row.ready && !row.alive(now);
        let rows = self.rows.iter_mut().map(|(_, row)| row);
        let silent = rows.filter(|row| silent(row)).map(|row| {
            row.ready = false;
            row.entry.host.clone()
        });
        silent.collect()
    }

    /// Returns where callers of `data_centre` should connect: this entry, if
    /// `own` is given, and ready ones near it.
    #[must_use]
    pub fn list(
        &self,
        data_centre: Option<&str>,
        own: Option<SocketAddr>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.list_within(data_centre, own, |_| true, now)
    }

    /// Returns the same, of other entries those in data centres that `is_allowed` allows.
    #[must_use]
    pub fn list_within(
        &self,
        data_centre: Option<&str>,
        own: Option<SocketAddr>,
        is_allowed: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let allowed = |row: &&Row| row.ready(now) && is_allowed(&row.entry.data_centre);
        let ready = || self.rows.values().filter(allowed);
        let home = data_centre.is_none_or(|wanted| wanted == self.data_centre);
        let near = |row: &&Row| data_centre.is_none_or(|wanted| row.entry.data_centre == wanted);
        let mut list: Vec<_> = ready().filter(near).map(|row| row.entry.listen).collect();
        if home || list.is_empty() {
            list.extend(own);
        }
        if list.len() < LIST_MIN {
            list.extend(ready().filter(|row| !near(row)).map(|row| row.entry.listen));
            list.extend(own);
        }
        list.sort_unstable();
        list.dedup();
        list
    }
}
