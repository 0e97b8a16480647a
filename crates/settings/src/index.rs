//! Nodes by position, with the position of each parent.

use std::cmp::Reverse;

use cactusnotch_base::Table;

use crate::{Id, Key, Node};

/// Nodes by position, with the position of each parent, which avoids searches
/// when walking up the tree. The nodes need not form a valid tree.
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

    /// Returns whether the node is its own ancestor.
    pub(crate) fn is_own_ancestor(&self, at: usize) -> bool {
        self.ancestors(at)
            .skip(1)
            .take(self.rows.len())
            .any(|above| above == at)
    }

    /// Returns the positions, the deepest nodes first. The nodes must not form
    /// a cycle.
    pub(crate) fn deepest_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.rows.len()).collect();
        order.sort_by_cached_key(|&at| Reverse(self.ancestors(at).count()));
        order
    }

    /// Returns the value of an integer key at a node.
    pub(crate) fn integer(&self, at: usize, key: Key) -> u64 {
        self.ancestors(at)
            .find_map(|at| self.rows[at].1.overrides.get(&key)?.as_integer())
            .or_else(|| key.default_value().as_integer())
            .unwrap_or_default()
    }

    fn ancestors(&self, at: usize) -> impl Iterator<Item = usize> {
        std::iter::successors(Some(at), |&at| self.parents[at])
    }
}
