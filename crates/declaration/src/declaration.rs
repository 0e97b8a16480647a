//! Declarations that have been checked.

use cactusnotch_base::Table;
use cactusnotch_derive::record;
use cactusnotch_settings::{Id, Key, Kind, Node, faults};

use crate::parse::parse;
use crate::{Fault, Faults, Place, Source};

/// A node as declared, with the places that messages name.
#[record]
pub struct Declared {
    /// The node.
    pub node: Node,
    /// Where it is declared.
    pub place: Place,
    /// Where each of its values is declared.
    pub values: Table<Key, Place>,
}

/// A declaration that breaks no rule on its own.
#[record]
pub struct Declaration {
    nodes: Table<Id, Declared>,
}

impl Declaration {
    /// Reads the declaration out of its files and checks it, without a
    /// connection.
    ///
    /// # Errors
    ///
    /// All faults of form; if there are none, all rules of the tree that are
    /// broken.
    pub fn check(sources: &[Source]) -> Result<Self, Faults> {
        let nodes = parse(sources)?;
        let declaration = Self { nodes };
        let mut faults: Vec<Fault> = faults(&declaration.rows())
            .iter()
            .map(|error| declaration.locate(error))
            .collect();
        if faults.is_empty() {
            return Ok(declaration);
        }
        faults.sort_by(|a, b| {
            let key = |fault: &Fault| (fault.place.file.clone(), fault.place.line);
            key(a).cmp(&key(b))
        });
        Err(Faults { faults })
    }

    /// Returns the declared nodes.
    #[must_use]
    pub const fn nodes(&self) -> &Table<Id, Declared> {
        &self.nodes
    }

    /// Returns the node `id`, if it is declared.
    #[must_use]
    pub fn node(&self, id: &Id) -> Option<&Node> {
        self.nodes.get(id).map(|declared| &declared.node)
    }

    /// Returns the number of declared nodes from `id` up to the root.
    pub(crate) fn depth(&self, id: &Id) -> usize {
        let parent = |at: &Id| self.node(at)?.parent.clone();
        std::iter::successors(Some(id.clone()), parent).count()
    }

    fn rows(&self) -> Table<Id, Node> {
        let mut rows: Table<Id, Node> = self
            .nodes
            .iter()
            .map(|(id, declared)| (id.clone(), declared.node.clone()))
            .collect();
        rows.get_or_insert_with(Id::root(), || Node::new(None, Kind::Root, "root"));
        rows
    }

    fn locate(&self, error: &cactusnotch_settings::Error) -> Fault {
        let declared = error.node().and_then(|id| self.nodes.get(id));
        let value = declared.and_then(|found| found.values.get(&error.key()?));
        let place = value.or(declared.map(|found| &found.place));
        let first = || self.nodes.values().next().map(|found| &found.place);
        Fault {
            place: place.or_else(first).cloned().unwrap_or_else(|| Place {
                file: String::new(),
                line: 1,
            }),
            rule: error.rule(),
            message: error.to_string(),
        }
    }
}
