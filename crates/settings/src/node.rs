//! Nodes of the tree.

use cactusnotch_base::Table;
use cactusnotch_derive::message;

use crate::{Id, Key, Kind, Value};

/// A node of the tree.
#[message]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The parent; only the root has none.
    pub parent: Option<Id>,
    /// What the node represents.
    pub kind: Kind,
    /// The display name.
    pub name: String,
    /// The values that the node does not inherit.
    pub overrides: Table<Key, Value>,
}

impl Node {
    /// Creates a node without overrides.
    pub fn new(parent: Option<Id>, kind: Kind, name: impl Into<String>) -> Self {
        Self {
            parent,
            kind,
            name: name.into(),
            overrides: Table::new(),
        }
    }
}
