//! A map kept as a sorted vector with binary search.

use serde::{Deserialize, Serialize};

/// A map of rows, sorted by unique keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// Creates an empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self { rows: Vec::new() }
    }

    fn position<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.rows.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value under `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.position(key).ok().map(|at| &self.rows[at].1)
    }

    /// Returns a mutable reference to the value under `key`.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        match self.position(key) {
            Ok(at) => Some(&mut self.rows[at].1),
            Err(_) => None,
        }
    }

    /// Returns whether the table contains `key`.
    pub fn contains<Q>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.position(key).is_ok()
    }

    /// Stores `value` under `key` and returns the previous value, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at].1, value)),
            Err(at) => {
                self.rows.insert(at, (key, value));
                None
            }
        }
    }

    /// Returns the value under `key`, inserting the result of `make` if there is
    /// none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.position(&key) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (key, make()));
                at
            }
        };
        &mut self.rows[at].1
    }

    /// Removes and returns the value under `key`.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.position(key).ok().map(|at| self.rows.remove(at).1)
    }

    /// Retains the rows for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// Returns the rows in the order of their keys.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Returns the rows in the order of their keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns the keys in order.
    #[must_use]
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.rows.iter().map(|(key, _)| key)
    }

    /// Returns the values in the order of their keys.
    #[must_use]
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.rows.iter().map(|(_, value)| value)
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for Table<K, V> {
    /// Builds the table. Of rows with equal keys, the last one is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut table = Self::new();
        for (key, value) in rows {
            table.insert(key, value);
        }
        table
    }
}
