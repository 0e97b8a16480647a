//! Operations of an edit.

use cactusnotch_derive::message;
use derive_more::Display;

use crate::{Id, Key, Kind, Value};

/// One change of the tree.
#[message]
#[derive(Eq, Display)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Adds a node without overrides.
    #[display("create {kind} {node} under {parent} as {name:?}")]
    Create {
        /// The new node.
        node: Id,
        /// The parent.
        parent: Id,
        /// What the node represents.
        kind: Kind,
        /// The display name.
        name: String,
    },
    /// Overrides a value at a node.
    #[display("set {node} {key} = {value}")]
    Set {
        /// The node that overrides the value.
        node: Id,
        /// The key of the value.
        key: Key,
        /// The value.
        value: Value,
    },
    /// Removes an override; the value is inherited again.
    #[display("unset {node} {key}")]
    Unset {
        /// The node whose override is removed.
        node: Id,
        /// The key of the value.
        key: Key,
    },
    /// Moves a node, with its subtree, to another parent.
    #[display("move {node} under {parent}")]
    Move {
        /// The node that moves.
        node: Id,
        /// The new parent.
        parent: Id,
    },
    /// Renames a node.
    #[display("rename {node} to {name:?}")]
    Rename {
        /// The node.
        node: Id,
        /// The new name.
        name: String,
    },
    /// Removes a node without children.
    #[display("delete {node}")]
    Delete {
        /// The node.
        node: Id,
    },
}

impl Operation {
    /// Returns the node that the operation changes.
    #[must_use]
    pub const fn node(&self) -> &Id {
        match self {
            Self::Create { node, .. }
            | Self::Set { node, .. }
            | Self::Unset { node, .. }
            | Self::Move { node, .. }
            | Self::Rename { node, .. }
            | Self::Delete { node } => node,
        }
    }
}
