//! The other entries and whether they are ready.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;

use crate::peer::Entry;

/// How long a received state is valid. Two lost datagrams are tolerated, and a crashed
/// entry is removed from the lists before callers next fetch them.
const STATE_TIME: Duration = Duration::from_millis(1_700);
/// Limit of polled entries, which bounds the cost regardless of their number. A poll also
/// carries the sender's state, so up to 31 entries exchange their states with each other.
pub const POLLED_MAX: usize = 16;
/// How many of them are the first of the data centre by name, which watch the store and
/// confirm its state for the others. The rest are the successors of this entry by name,
/// wrapping around, so each entry is polled by equally many.
const POLLED_FIRST: usize = 2;
/// Number of entries from which a list is long enough to be limited to the caller's data
/// centre.
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
    /// Creates an empty list.
    #[must_use]
    pub fn new(host: &str, data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            host: host.to_owned(),
            rows: Table::new(),
        }
    }

    /// Applies an entry's registration.
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

    /// Removes an entry that deregistered.
    pub fn remove(&mut self, host: &str) {
        self.rows.remove(host);
    }

    /// Returns the hosts of all registered entries, including this one, in no particular
    /// order.
    #[must_use]
    pub fn hosts(&self) -> Vec<&str> {
        let others = self.rows.iter().map(|(host, _)| host.as_str());
        others.chain([self.host.as_str()]).collect()
    }

    /// Returns the number of registered entries, including this one.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.rows.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns how many ready entries of this data centre precede this one by name.
    #[must_use]
    pub fn ready_before(&self, now: Instant) -> u32 {
        let before = |row: &&Row| {
            row.entry.data_centre == self.data_centre
                && row.entry.host < self.host
                && row.ready(now)
        };
        u32::try_from(self.rows.values().filter(before).count()).unwrap_or(u32::MAX)
    }

    /// Returns how many alive entries of this data centre precede this one by name; `None`
    /// if other entries are registered and none of them is alive.
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

    /// Returns the datagram addresses of the entries of this data centre.
    #[must_use]
    pub fn in_data_centre(&self) -> Vec<SocketAddr> {
        let near = |row: &&Row| row.entry.data_centre == self.data_centre;
        let rows = self.rows.values().filter(near);
        rows.map(|row| row.entry.peers).collect()
    }

    /// Returns the datagram addresses of all other entries.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        self.rows.values().map(|row| row.entry.peers).collect()
    }

    /// Returns the datagram addresses to poll: entries of this data centre, and those of
    /// others if it has too few.
    #[must_use]
    pub fn polled(&self) -> Vec<SocketAddr> {
        let near = |row: &&Row| row.entry.data_centre == self.data_centre;
        let rows = || self.rows.values();
        let mut polled: Vec<_> = rows().filter(near).map(|row| row.entry.peers).collect();
        if polled.len() < LIST_MIN {
            polled.extend(rows().filter(|row| !near(row)).map(|row| row.entry.peers));
        } else if polled.len() > POLLED_MAX {
            let before = rows().filter(near).filter(|row| row.entry.host < self.host);
            // The first entries stay in front; the others start after this entry.
            let others = &mut polled[POLLED_FIRST..];
            others.rotate_left(before.count().saturating_sub(POLLED_FIRST) % others.len());
        }
        polled.truncate(POLLED_MAX);
        polled
    }

    /// Records a received state; returns the entry's host if its readiness changed.
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

    /// Marks unresponsive entries as not ready; returns their hosts.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let is_unresponsive = |row: &Row| row.ready && !row.alive(now);
        let rows = self.rows.iter_mut().map(|(_, row)| row);
        let unresponsive = rows.filter(|row| is_unresponsive(row)).map(|row| {
            row.ready = false;
            row.entry.host.clone()
        });
        unresponsive.collect()
    }

    /// Returns the addresses at which callers of `data_centre` should connect: `own` if
    /// given, and ready entries near the callers.
    #[must_use]
    pub fn list(
        &self,
        data_centre: Option<&str>,
        own: Option<SocketAddr>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.list_within(data_centre, own, |_| true, now)
    }

    /// Returns the same, limited to other entries in data centres that `is_allowed`
    /// accepts.
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
        let is_own_data_centre = data_centre.is_none_or(|wanted| wanted == self.data_centre);
        let near = |row: &&Row| data_centre.is_none_or(|wanted| row.entry.data_centre == wanted);
        let mut list: Vec<_> = ready().filter(near).map(|row| row.entry.listen).collect();
        if is_own_data_centre || list.is_empty() {
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
