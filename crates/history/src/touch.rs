//! The parts of the tree changed by an edit, and conflicts between edits.

use cactusnotch_derive::identifier;
use cactusnotch_settings::{Edit, Id, Key, Operation};
use derive_more::Display;

/// A part of a node that an edit changes.
#[identifier]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Aspect {
    /// Whether the node exists, which conflicts with all other parts.
    #[display("existence")]
    Existence,
    /// The node's parent.
    #[display("place")]
    Place,
    /// The node's name.
    #[display("name")]
    Name,
    /// The override of a value.
    #[display("{_0}")]
    Value(Key),
}

/// A part of the tree that an edit changes.
#[identifier]
#[derive(Display)]
#[display("{node}:{aspect}")]
pub struct Touch {
    /// The node.
    pub node: Id,
    /// The part of the node.
    pub aspect: Aspect,
}

impl Touch {
    /// Returns the parts that `edit` changes, sorted. For a node that the edit
    /// creates or deletes, only the existence is listed, since it covers all
    /// parts.
    #[must_use]
    pub fn all(edit: &Edit) -> Vec<Self> {
        let mut touches: Vec<Self> = edit.operations.iter().map(Self::of).collect();
        touches.sort();
        touches.dedup();
        let mut kept: Vec<Self> = Vec::with_capacity(touches.len());
        for touch in touches {
            // `Existence` sorts before the other parts of its node.
            let is_covered = kept
                .last()
                .is_some_and(|last| last.node == touch.node && last.aspect == Aspect::Existence);
            if !is_covered {
                kept.push(touch);
            }
        }
        kept
    }

    /// Returns whether two edits that change these parts conflict.
    #[must_use]
    pub fn conflicts_with(&self, other: &Self) -> bool {
        let is_whole = |touch: &Self| touch.aspect == Aspect::Existence;
        self.node == other.node
            && (self.aspect == other.aspect || is_whole(self) || is_whole(other))
    }

    fn of(operation: &Operation) -> Self {
        let aspect = match operation {
            Operation::Create { .. } | Operation::Delete { .. } => Aspect::Existence,
            Operation::Move { .. } => Aspect::Place,
            Operation::Rename { .. } => Aspect::Name,
            Operation::Set { key, .. } | Operation::Unset { key, .. } => Aspect::Value(*key),
        };
        Self {
            node: operation.node().clone(),
            aspect,
        }
    }
}
