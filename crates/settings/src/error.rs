//! Why an edit cannot be applied.

use derive_more::{Display, Error};

use crate::{Id, Key, Kind, Mismatch, Operation};

/// Why an edit cannot be applied, or a tree is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// An operation cannot be applied.
    #[display("operation {} ({operation}): {source}", at + 1)]
    Step {
        /// The position of the operation in the edit.
        at: usize,
        /// The operation.
        operation: Box<Operation>,
        /// The reason.
        source: Box<Error>,
    },
    /// An edit without operations.
    #[display("the edit has no operations")]
    Empty,
    /// An identity that is not a UUID.
    #[display("the edit's id {id:?} is not a UUID")]
    Identity {
        /// The identity as given.
        id: String,
    },
    /// An identifier of a node with other characters than are allowed.
    #[display(
        "node {node}: an identifier has 1 to 128 lower-case letters, digits, '-', '_' and '.'"
    )]
    Malformed {
        /// The node.
        node: Id,
    },
    /// A name that is empty, too long or has control characters.
    #[display("node {node}: a name has 1 to 128 bytes and no control characters")]
    Name {
        /// The node.
        node: Id,
    },
    /// A node that does not exist.
    #[display("node {node} does not exist")]
    Missing {
        /// The node.
        node: Id,
    },
    /// A node that exists already.
    #[display("node {node} exists already")]
    Exists {
        /// The node.
        node: Id,
    },
    /// A change that the root does not allow.
    #[display("the root is neither created, moved nor deleted")]
    Root,
    /// A node whose parent does not exist.
    #[display("node {node}: its parent {parent} does not exist")]
    Orphan {
        /// The node.
        node: Id,
        /// The parent that is missing.
        parent: Id,
    },
    /// The deletion of a node that has children.
    #[display("node {node} has nodes below it, such as {child}")]
    Children {
        /// The node.
        node: Id,
        /// One of the children.
        child: Id,
    },
    /// A node that is its own ancestor.
    #[display("node {node} stands below itself")]
    Cycle {
        /// The node.
        node: Id,
    },
    /// A node under a parent whose kind does not allow children of this kind.
    #[display("node {node}: a {kind} cannot stand under the {parent_kind} {parent}")]
    Placement {
        /// The node.
        node: Id,
        /// Its kind.
        kind: Kind,
        /// Its parent.
        parent: Id,
        /// The parent's kind.
        parent_kind: Kind,
    },
    /// Two nodes of one name, under one parent or of one kind.
    #[display("nodes {other} and {node} have the same name {name:?}")]
    Duplicate {
        /// The node.
        node: Id,
        /// The other node.
        other: Id,
        /// The name of both.
        name: String,
    },
    /// A key on a node of a kind that it does not apply to.
    #[display("node {node}: {key} means nothing on a {kind}")]
    Misplaced {
        /// The node.
        node: Id,
        /// The key.
        key: Key,
        /// The kind of the node.
        kind: Kind,
    },
    /// A value that does not fit its key.
    #[display("node {node}: {key}: {source}")]
    Value {
        /// The node.
        node: Id,
        /// The key.
        key: Key,
        /// Why it does not fit.
        source: Mismatch,
    },
    /// The removal of an override that does not exist.
    #[display("node {node} does not override {key}")]
    Inherited {
        /// The node.
        node: Id,
        /// The key.
        key: Key,
    },
    /// Floors whose sum exceeds a cap.
    #[display("node {node}: floors of {floors} ({key}) exceed its {limit_key} of {limit}")]
    Floors {
        /// The node with the cap.
        node: Id,
        /// The key of the floors.
        key: Key,
        /// The sum of the floors at and below the node.
        floors: u64,
        /// The key of the cap.
        limit_key: Key,
        /// The cap.
        limit: u64,
    },
    /// An endpoint that belongs to two groups.
    #[display("node {node}: endpoint {endpoint} belongs to {other} already")]
    Endpoint {
        /// The node.
        node: Id,
        /// The endpoint.
        endpoint: String,
        /// The other group.
        other: Id,
    },
    /// A group with both a list of endpoints and a selector.
    #[display("node {node}: endpoints and endpoint-selector exclude each other")]
    Selector {
        /// The node.
        node: Id,
    },
    /// A tree whose root is missing or not a root.
    #[display("the tree has no root")]
    Rootless,
}

impl Error {
    /// Returns the name of the violated rule.
    #[must_use]
    pub fn rule(&self) -> &'static str {
        match self {
            Self::Step { source, .. } => source.rule(),
            Self::Empty => "no-operations",
            Self::Identity { .. } => "edit-id",
            Self::Malformed { .. } => "node-id",
            Self::Name { .. } => "node-name",
            Self::Missing { .. } => "missing-node",
            Self::Exists { .. } => "existing-node",
            Self::Root | Self::Rootless => "root",
            Self::Orphan { .. } => "missing-parent",
            Self::Children { .. } => "children",
            Self::Cycle { .. } => "cycle",
            Self::Placement { .. } => "placement",
            Self::Duplicate { .. } => "duplicate-name",
            Self::Misplaced { .. } => "misplaced-key",
            Self::Value { source, .. } => source.rule(),
            Self::Inherited { .. } => "inherited",
            Self::Floors { .. } => "floors",
            Self::Endpoint { .. } => "endpoint-of-two-groups",
            Self::Selector { .. } => "endpoints-or-selector",
        }
    }

    /// Returns the node that violates the rule, if there is one.
    #[must_use]
    pub fn node(&self) -> Option<&Id> {
        match self {
            Self::Step { source, .. } => source.node(),
            Self::Empty | Self::Identity { .. } | Self::Root | Self::Rootless => None,
            Self::Malformed { node }
            | Self::Name { node }
            | Self::Missing { node }
            | Self::Exists { node }
            | Self::Orphan { node, .. }
            | Self::Children { node, .. }
            | Self::Cycle { node }
            | Self::Placement { node, .. }
            | Self::Duplicate { node, .. }
            | Self::Misplaced { node, .. }
            | Self::Value { node, .. }
            | Self::Inherited { node, .. }
            | Self::Floors { node, .. }
            | Self::Endpoint { node, .. }
            | Self::Selector { node } => Some(node),
        }
    }

    /// Returns the key that violates the rule, if there is one.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        match self {
            Self::Step { source, .. } => source.key(),
            Self::Misplaced { key, .. }
            | Self::Value { key, .. }
            | Self::Inherited { key, .. }
            | Self::Floors { key, .. } => Some(*key),
            Self::Endpoint { .. } => Some(Key::Endpoints),
            Self::Selector { .. } => Some(Key::EndpointSelector),
            _ => None,
        }
    }
}

impl Mismatch {
    /// Returns the name of the violated rule.
    #[must_use]
    pub const fn rule(&self) -> &'static str {
        match self {
            Self::Type { .. } => "type",
            Self::Range { .. } => "range",
        }
    }
}
