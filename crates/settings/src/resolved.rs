//! The resolved view of a tree that the request path reads values from.

mod group;
mod organisation;
mod system;

pub use group::Group;
pub use organisation::Organisation;
pub use system::System;

use cactusnotch_base::Table;

use crate::{Id, Key, Kind, Tree, Value};

/// The values of a tree with all inheritance resolved.
///
/// It is built once for each revision, in `O(nodes × keys × depth × log
/// nodes)`; a lookup by name takes one binary search and copies nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolved {
    /// The values of the root.
    pub system: System,
    organisations: Table<String, Organisation>,
    groups: Table<String, Group>,
    models: Table<String, Vec<String>>,
}

impl Resolved {
    /// Resolves the values of `tree`.
    #[must_use]
    pub fn new(tree: &Tree) -> Self {
        let named = |kind: Kind| {
            tree.nodes()
                .iter()
                .filter(move |(_, node)| node.kind == kind)
        };
        let organisations = named(Kind::Organisation)
            .map(|(id, node)| (node.name.clone(), Organisation::new(tree, id)))
            .collect();
        let groups: Table<String, Group> = named(Kind::ModelGroup)
            .map(|(id, node)| (node.name.clone(), Group::new(tree, id)))
            .collect();
        let mut models: Table<String, Vec<String>> = Table::new();
        for (name, group) in groups.iter().filter(|(_, group)| !group.model.is_empty()) {
            models
                .get_or_insert_with(group.model.clone(), Vec::new)
                .push(name.clone());
        }
        Self {
            system: System::new(tree),
            organisations,
            groups,
            models,
        }
    }

    /// Returns the organisation with the given name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.get(name)
    }

    /// Returns the organisations in the order of their names.
    #[must_use]
    pub const fn organisations(&self) -> &Table<String, Organisation> {
        &self.organisations
    }

    /// Returns the model group with the given name.
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.get(name)
    }

    /// Returns the model groups in the order of their names.
    #[must_use]
    pub const fn groups(&self) -> &Table<String, Group> {
        &self.groups
    }

    /// Returns the groups that serve `model` to `organisation`.
    pub fn serving<'a>(
        &'a self,
        model: &str,
        organisation: &'a str,
    ) -> impl Iterator<Item = &'a Group> {
        let names = self.models.get(model).map_or(&[][..], Vec::as_slice);
        names
            .iter()
            .filter_map(|name| self.groups.get(name))
            .filter(move |group| group.allows(organisation))
    }

    /// Returns the models that at least one group serves to `organisation`.
    pub fn models<'a>(&'a self, organisation: &'a str) -> impl Iterator<Item = &'a str> {
        self.models
            .keys()
            .map(String::as_str)
            .filter(move |model| self.serving(model, organisation).next().is_some())
    }
}

/// Reads the values of one node. Each value has the type of its key because
/// the tree is valid.
pub(crate) struct Reader<'a> {
    tree: &'a Tree,
    id: &'a Id,
}

impl<'a> Reader<'a> {
    pub(crate) const fn new(tree: &'a Tree, id: &'a Id) -> Self {
        Self { tree, id }
    }

    pub(crate) fn read<T>(&self, key: Key, typed: impl Fn(&Value) -> Option<T>) -> T {
        let value = self.tree.inherited(self.id, key).value;
        typed(&value)
            .or_else(|| typed(&key.default_value()))
            .expect("a default has the type of its key")
    }

    pub(crate) fn integer(&self, key: Key) -> u64 {
        self.read(key, Value::as_integer)
    }

    pub(crate) fn fraction(&self, key: Key) -> f64 {
        self.read(key, Value::as_fraction)
    }

    pub(crate) fn duration(&self, key: Key) -> std::time::Duration {
        self.read(key, Value::as_duration)
    }

    pub(crate) fn text(&self, key: Key) -> String {
        self.read(key, |value| value.as_text().map(str::to_owned))
    }

    pub(crate) fn names(&self, key: Key) -> Vec<String> {
        self.read(key, |value| value.as_names().map(<[String]>::to_vec))
    }
}
