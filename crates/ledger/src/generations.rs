//! Tables whose rows expire by age.

use std::time::Duration;

use cactusnotch_base::Table;

use crate::Age;

/// A set of rows, divided into one sorted table for each period. An insertion
/// moves only the rows of one period, and old periods are dropped as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Generations<K, V> {
    period: Duration,
    /// The tables with the age at which each was created, oldest first.
    tables: Vec<(Age, Table<K, V>)>,
    rows: usize,
}

impl<K: Ord, V> Generations<K, V> {
    /// Creates an empty set, each of whose tables covers `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            tables: Vec::new(),
            rows: 0,
        }
    }

    /// Returns the value under `key` from the newest table that contains it.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.tables
            .iter()
            .rev()
            .find_map(|(_, table)| table.get(key))
    }

    /// Returns a mutable reference to the value under `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.tables
            .iter_mut()
            .rev()
            .find_map(|(_, table)| table.get_mut(key))
    }

    /// Stores a row in the table for `now`. `now` must never decrease.
    pub fn insert(&mut self, key: K, value: V, now: Age) {
        let needs_table = match self.tables.last() {
            Some((began, _)) => now.since(*began) >= self.period,
            None => true,
        };
        if needs_table {
            self.tables.push((now, Table::new()));
        }
        if let Some((_, table)) = self.tables.last_mut()
            && table.insert(key, value).is_none()
        {
            self.rows += 1;
        }
    }

    /// Removes and returns the value under `key`.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let value = self
            .tables
            .iter_mut()
            .rev()
            .find_map(|(_, table)| table.remove(key))?;
        self.rows -= 1;
        Some(value)
    }

    /// Removes and returns the oldest table if all its rows are older than
    /// `lifetime`.
    pub fn expire(&mut self, now: Age, lifetime: Duration) -> Option<Table<K, V>> {
        let (began, _) = self.tables.first()?;
        if now <= began.after(self.period).after(lifetime) {
            return None;
        }
        let (_, table) = self.tables.remove(0);
        self.rows -= table.len();
        Some(table)
    }

    /// Returns the rows, oldest table first.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.tables.iter().flat_map(|(_, table)| table.iter())
    }

    /// Returns the rows with mutable values, oldest table first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.tables
            .iter_mut()
            .flat_map(|(_, table)| table.iter_mut())
    }

    /// Returns the number of rows.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.rows
    }

    /// Returns whether there are no rows.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows == 0
    }
}
