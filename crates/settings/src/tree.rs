//! The tree of settings.

use cactusnotch_base::Table;
use cactusnotch_derive::message;

use crate::{Effective, Error, Id, Key, Kind, Listing, Node, check};

/// A valid tree of nodes. Only `apply` changes it, and decoding validates it.
#[message]
#[derive(Eq)]
#[serde(try_from = "Table<Id, Node>", into = "Table<Id, Node>")]
pub struct Tree {
    nodes: Table<Id, Node>,
}

impl Tree {
    /// Creates a tree that contains only the root.
    #[must_use]
    pub fn new() -> Self {
        let root = Node::new(None, Kind::Root, "root");
        Self {
            nodes: Table::from_iter([(Id::root(), root)]),
        }
    }

    /// Creates a tree from nodes sorted by identifier, after validating them.
    pub(crate) fn checked(nodes: Table<Id, Node>) -> Result<Self, Error> {
        match check::faults(&nodes).into_iter().next() {
            Some(fault) => Err(fault),
            None => Ok(Self { nodes }),
        }
    }

    /// Returns the node `id`.
    #[must_use]
    pub fn node(&self, id: &Id) -> Option<&Node> {
        self.nodes.get(id)
    }

    /// Returns the nodes in the order of their identifiers.
    #[must_use]
    pub const fn nodes(&self) -> &Table<Id, Node> {
        &self.nodes
    }

    /// Returns the children of `id`.
    pub fn children<'a>(&'a self, id: &'a Id) -> impl Iterator<Item = (&'a Id, &'a Node)> {
        self.nodes
            .iter()
            .filter(move |(_, node)| node.parent.as_ref() == Some(id))
    }

    /// Returns the names from below the root down to `id`, joined by `/`.
    #[must_use]
    pub fn path(&self, id: &Id) -> String {
        let mut names: Vec<&str> = self
            .lineage(id)
            .filter(|(_, node)| node.parent.is_some())
            .map(|(_, node)| node.name.as_str())
            .collect();
        names.reverse();
        format!("/{}", names.join("/"))
    }

    /// Returns the node `id` and its ancestors, the root last.
    pub fn lineage<'a>(&'a self, id: &'a Id) -> impl Iterator<Item = (&'a Id, &'a Node)> {
        let first = self.nodes.get(id).map(|node| (id, node));
        std::iter::successors(first, |(_, node)| {
            let parent = node.parent.as_ref()?;
            Some((parent, self.nodes.get(parent)?))
        })
    }

    /// Returns the value of `key` at the node `id`, and the node that it is
    /// inherited from.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] if there is no such node, [`Error::Misplaced`] if
    /// the key does not apply to its kind.
    pub fn effective(&self, id: &Id, key: Key) -> Result<Effective, Error> {
        let node = self
            .nodes
            .get(id)
            .ok_or(Error::Missing { node: id.clone() })?;
        if !key.spec().is_for(node.kind) {
            return Err(Error::Misplaced {
                node: id.clone(),
                key,
                kind: node.kind,
            });
        }
        Ok(self.inherited(id, key))
    }

    /// Returns all values that apply to the node `id`.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] if there is no such node.
    pub fn listing(&self, id: &Id) -> Result<Listing, Error> {
        Listing::new(self, id)
    }

    pub(crate) fn inherited(&self, id: &Id, key: Key) -> Effective {
        let overridden = self
            .lineage(id)
            .find_map(|(from, node)| Some((from, node.overrides.get(&key)?)));
        match overridden {
            Some((from, value)) => Effective {
                key,
                value: value.clone(),
                from: Some(from.clone()),
            },
            None => Effective {
                key,
                value: key.default_value(),
                from: None,
            },
        }
    }

    pub(crate) fn integer(&self, id: &Id, key: Key) -> u64 {
        self.inherited(id, key)
            .value
            .as_integer()
            .unwrap_or_default()
    }
}

impl Default for Tree {
    fn default() -> Self {
        Self::new()
    }
}

impl TryFrom<Table<Id, Node>> for Tree {
    type Error = Error;

    /// Validates the nodes and creates a tree from them.
    ///
    /// # Errors
    ///
    /// The first rule that is violated.
    fn try_from(rows: Table<Id, Node>) -> Result<Self, Error> {
        // A decoded table may be unsorted.
        let count = rows.len();
        let nodes: Table<Id, Node> = rows
            .iter()
            .map(|(id, node)| (id.clone(), node.clone()))
            .collect();
        if nodes.len() != count {
            return Err(Error::Rootless);
        }
        Self::checked(nodes)
    }
}

impl From<Tree> for Table<Id, Node> {
    fn from(tree: Tree) -> Self {
        tree.nodes
    }
}
