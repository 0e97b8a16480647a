//! Validated declarations.

use cactusnotch_base::Table;
use cactusnotch_derive::record;
use cactusnotch_settings::{Id, Key, Kind, Node, faults};

use crate::parse::parse;
use crate::{Fault, Faults, Place, Source};

/// A declared node, with the source positions for error messages.
#[record]
pub struct Declared {
    /// The node.
    pub node: Node,
    /// The position of its declaration.
    pub place: Place,
    /// The position of each of its values.
    pub values: Table<Key, Place>,
}

/// A declaration that violates no rule by itself.
#[record]
pub struct Declaration {
    nodes: Table<Id, Declared>,
}

impl Declaration {
    /// Parses the declaration from its files and validates it, without a
    /// connection to the platform.
    ///
    /// # Errors
    ///
    /// All errors of syntax and structure; if there are none, all violated rules
    /// of the tree.
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
