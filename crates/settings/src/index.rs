//! Nodes by position, with the position of each parent.

use std::cmp::Reverse;

use cactusnotch_base::Table;

use crate::{Id, Key, Node};

/// Nodes by position, with the position of each parent, so that ways up the
/// tree take no searches. The nodes need not form a valid tree.
pub(crate) struct Index<'a> {
    rows: Vec<(&'a Id, &'a Node)>,
    parents: Vec<Option<usize>>,
}

impl<'a> Index<'a> {
    pub(crate) fn new(nodes: &'a Table<Id, Node>) -> Self {
        let rows: Vec<_> = nodes.iter().collect();
        let position = |id: &Id| rows.binary_search_by_key(&id, |(id, _)| id).ok();
        let parents = rows
            .iter()
            .map(|(_, node)| node.parent.as_ref().and_then(position))
            .collect();
        Self { rows, parents }
    }

    pub(crate) fn rows(&self) -> &[(&'a Id, &'a Node)] {
        &self.rows
    }

    pub(crate) fn parent(&self, at: usize) -> Option<usize> {
        self.parents[at]
    }

    /// Tells whether the way up comes back to the node.
    pub(crate) fn is_below_itself(&self, at: usize) -> bool {
        self.way_up(at)
            .skip(1)
            .take(self.rows.len())
            .any(|above| above == at)
    }

    /// Returns the positions, those furthest from the root first. There must
    /// be no cycle.
    pub(crate) fn lowest_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.rows.len()).collect();
        order.sort_by_cached_key(|&at| Reverse(self.way_up(at).count()));
        order
    }

    /// Returns the value of an integer key at a node.
    pub(crate) fn integer(&self, at: usize, key: Key) -> u64 {
        self.way_up(at)
            .find_map(|at| self.rows[at].1.overrides.get(&key)?.as_integer())
            .or_else(|| key.default_value().as_integer())
            .unwrap_or_default()
    }

    fn way_up(&self, at: usize) -> impl Iterator<Item = usize> {
        std::iter::successors(Some(at), |&at| self.parents[at])
    }
}
