//! Atomic application of edits.

use cactusnotch_base::Table;
use uuid::Uuid;

use crate::{Edit, Error, Id, Key, Node, Operation, Tree, Value};

/// Returns the tree with all operations of `edit` applied.
///
/// Each operation must be valid on the result of the preceding ones. The rules
/// that span several nodes are checked once, after the last operation.
///
/// # Errors
///
/// [`Error::Step`] for the first operation that is not valid, otherwise the
/// first rule that the resulting tree violates.
pub fn apply(tree: &Tree, edit: &Edit) -> Result<Tree, Error> {
    if Uuid::try_parse(&edit.id).is_err() {
        return Err(Error::Identity {
            id: edit.id.clone(),
        });
    }
    if edit.operations.is_empty() {
        return Err(Error::Empty);
    }
    let mut nodes = tree.nodes().clone();
    apply_operations(&mut nodes, edit)?;
    Tree::checked(nodes)
}

/// Returns the tree with several edits applied that were each validated before.
/// The rules are checked once, after the last edit, which takes about as long
/// as for a single edit.
///
/// # Errors
///
/// As for [`apply`].
pub fn replay<'a>(tree: &Tree, edits: impl Iterator<Item = &'a Edit>) -> Result<Tree, Error> {
    let mut nodes = tree.nodes().clone();
    for edit in edits {
        apply_operations(&mut nodes, edit)?;
    }
    Tree::checked(nodes)
}

fn apply_operations(nodes: &mut Table<Id, Node>, edit: &Edit) -> Result<(), Error> {
    for (at, operation) in edit.operations.iter().enumerate() {
        apply_operation(nodes, operation).map_err(|source| Error::Step {
            at,
            operation: Box::new(operation.clone()),
            source: Box::new(source),
        })?;
    }
    Ok(())
}

fn apply_operation(nodes: &mut Table<Id, Node>, operation: &Operation) -> Result<(), Error> {
    match operation {
        Operation::Create {
            node,
            parent,
            kind,
            name,
        } => create(nodes, node, Node::new(Some(parent.clone()), *kind, name)),
        Operation::Set { node, key, value } => set(nodes, node, *key, value),
        Operation::Unset { node, key } => unset(nodes, node, *key),
        Operation::Move { node, parent } => relocate(nodes, node, parent),
        Operation::Rename { node, name } => {
            find(nodes, node)?.name.clone_from(name);
            Ok(())
        }
        Operation::Delete { node } => delete(nodes, node),
    }
}

fn find<'a>(nodes: &'a mut Table<Id, Node>, id: &Id) -> Result<&'a mut Node, Error> {
    nodes
        .get_mut(id)
        .ok_or_else(|| Error::Missing { node: id.clone() })
}

fn create(nodes: &mut Table<Id, Node>, id: &Id, node: Node) -> Result<(), Error> {
    if nodes.contains(id) {
        return Err(Error::Exists { node: id.clone() });
    }
    if let Some(parent) = &node.parent {
        find(nodes, parent)?;
    }
    nodes.insert(id.clone(), node);
    Ok(())
}

fn set(nodes: &mut Table<Id, Node>, id: &Id, key: Key, value: &Value) -> Result<(), Error> {
    find(nodes, id)?.overrides.insert(key, value.clone());
    Ok(())
}

fn unset(nodes: &mut Table<Id, Node>, id: &Id, key: Key) -> Result<(), Error> {
    match find(nodes, id)?.overrides.remove(&key) {
        Some(_) => Ok(()),
        None => Err(Error::Inherited {
            node: id.clone(),
            key,
        }),
    }
}

fn relocate(nodes: &mut Table<Id, Node>, id: &Id, parent: &Id) -> Result<(), Error> {
    if *id == Id::root() {
        return Err(Error::Root);
    }
    find(nodes, parent)?;
    find(nodes, id)?.parent = Some(parent.clone());
    Ok(())
}

fn delete(nodes: &mut Table<Id, Node>, id: &Id) -> Result<(), Error> {
    if *id == Id::root() {
        return Err(Error::Root);
    }
    let child = nodes
        .iter()
        .find(|(_, node)| node.parent.as_ref() == Some(id));
    if let Some((child, _)) = child {
        return Err(Error::Children {
            node: id.clone(),
            child: child.clone(),
        });
    }
    match nodes.remove(id) {
        Some(_) => Ok(()),
        None => Err(Error::Missing { node: id.clone() }),
    }
}
