//! The changes that make a tree match a declaration.

use std::cmp::Reverse;
use std::fmt;

use cactusnotch_base::number::Revision;
use cactusnotch_derive::record;
use cactusnotch_settings::{Edit, Id, Kind, Node, Operation, Tree, Value};
use derive_more::{Display, Error};
use serde::Serialize;

use crate::Declaration;

/// How a declaration is compared with a tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Options {
    /// Whether nodes that are not declared are deleted; otherwise they are left
    /// unchanged. The overrides of a declared node always match the declaration.
    pub prune: bool,
}

/// A node that cannot be changed to match its declaration, since the kind of a
/// node is fixed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "node {node} is declared as {declared} and exists as {found}: delete it first, or declare \
     another identifier"
)]
pub struct Mismatch {
    /// The node.
    pub node: Id,
    /// The kind that is declared.
    pub declared: Kind,
    /// The kind that the node has.
    pub found: Kind,
}

/// One change.
#[record]
#[derive(Serialize)]
pub struct Change {
    /// The operation.
    pub operation: Operation,
    /// The previous value of the override.
    pub before: Option<Value>,
}

/// The changes that make a tree match a declaration, in an order in which they
/// can be applied. It is displayed as text and serializes for programs.
#[record]
#[derive(Default, Serialize)]
#[serde(transparent)]
pub struct Difference {
    /// The changes.
    pub changes: Vec<Change>,
}

impl Difference {
    /// Compares `declaration` with `tree`.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] for a node whose kind differs from the declared one.
    pub fn new(
        tree: &Tree,
        declaration: &Declaration,
        options: &Options,
    ) -> Result<Self, Mismatch> {
        let mut difference = Self::default();
        difference.create(tree, declaration)?;
        for (id, declared) in declaration.nodes().iter() {
            let found = tree.node(id).unwrap_or(&declared.node);
            difference.place(id, found, &declared.node);
        }
        for (id, declared) in declaration.nodes().iter() {
            difference.set(id, tree.node(id), &declared.node);
        }
        if options.prune {
            difference.delete(tree, declaration);
        }
        Ok(difference)
    }

    /// Returns the difference as one edit, or `None` if there is no difference.
    #[must_use]
    pub fn edit(&self, author: &str, reason: &str, base: Revision) -> Option<Edit> {
        let operations: Vec<_> = self.changes.iter().map(|c| c.operation.clone()).collect();
        (!operations.is_empty()).then(|| Edit::new(author, reason, base, operations))
    }

    fn push(&mut self, operation: Operation, before: Option<Value>) {
        self.changes.push(Change { operation, before });
    }

    fn create(&mut self, tree: &Tree, declaration: &Declaration) -> Result<(), Mismatch> {
        let mut missing = Vec::new();
        for (id, declared) in declaration.nodes().iter() {
            let node = &declared.node;
            match tree.node(id) {
                None => missing.push((declaration.depth(id), id, node)),
                Some(found) if found.kind == node.kind => {}
                Some(found) => {
                    return Err(Mismatch {
                        node: id.clone(),
                        declared: node.kind,
                        found: found.kind,
                    });
                }
            }
        }
        missing.sort_by_key(|(depth, id, _)| (*depth, *id));
        for (_, id, node) in missing {
            let operation = Operation::Create {
                node: id.clone(),
                parent: node.parent.clone().unwrap_or_else(Id::root),
                kind: node.kind,
                name: node.name.clone(),
            };
            self.push(operation, None);
        }
        Ok(())
    }

    fn place(&mut self, id: &Id, found: &Node, declared: &Node) {
        let node = || id.clone();
        if found.name != declared.name {
            let name = declared.name.clone();
            self.push(Operation::Rename { node: node(), name }, None);
        }
        if found.parent != declared.parent
            && let Some(parent) = declared.parent.clone()
        {
            self.push(
                Operation::Move {
                    node: node(),
                    parent,
                },
                None,
            );
        }
    }

    fn set(&mut self, id: &Id, found: Option<&Node>, declared: &Node) {
        let before = |key| found.and_then(|node| node.overrides.get(key)).cloned();
        for (key, value) in declared.overrides.iter() {
            let old = before(key);
            if old.as_ref() != Some(value) {
                let operation = Operation::Set {
                    node: id.clone(),
                    key: *key,
                    value: value.clone(),
                };
                self.push(operation, old);
            }
        }
        self.unset(id, found, |key| declared.overrides.contains(key));
    }

    fn unset(
        &mut self,
        id: &Id,
        found: Option<&Node>,
        is_declared: impl Fn(&cactusnotch_settings::Key) -> bool,
    ) {
        let overrides = found.into_iter().flat_map(|node| node.overrides.iter());
        for (key, value) in overrides.filter(|(key, _)| !is_declared(key)) {
            let operation = Operation::Unset {
                node: id.clone(),
                key: *key,
            };
            self.push(operation, Some(value.clone()));
        }
    }

    /// Deletes the nodes that are not declared, the deepest first.
    fn delete(&mut self, tree: &Tree, declaration: &Declaration) {
        let root = Id::root();
        if declaration.node(&root).is_none() {
            self.unset(&root, tree.node(&root), |_| false);
        }
        let mut surplus: Vec<(usize, &Id)> = tree
            .nodes()
            .keys()
            .filter(|id| **id != root && declaration.node(id).is_none())
            .map(|id| (tree.lineage(id).count(), id))
            .collect();
        surplus.sort_by_key(|(depth, id)| (Reverse(*depth), *id));
        for (_, id) in surplus {
            self.push(Operation::Delete { node: id.clone() }, None);
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.operation {
            Operation::Create { .. } => '+',
            Operation::Delete { .. } => '-',
            _ => '~',
        };
        write!(f, "{sign} {}", self.operation)?;
        match &self.before {
            Some(before) => write!(f, " (was {before})"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return writeln!(f, "nothing has to change");
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}
