//! Rendering of a tree as a declaration.

use cactusnotch_settings::{Id, Node, Tree};
use toml::Table;

/// Returns the declaration of `tree` as TOML. Parsing it yields the same tree.
///
/// # Panics
///
/// Never: every valid tree can be written as TOML.
#[must_use]
pub fn toml(tree: &Tree) -> String {
    let nodes: Table = tree
        .nodes()
        .iter()
        .map(|(id, node)| (id.to_string(), declared(node).into()))
        .collect();
    let file = Table::from_iter([("nodes".to_owned(), nodes.into())]);
    toml::to_string_pretty(&file).expect("a table of tables can be written as TOML")
}

fn declared(node: &Node) -> Table {
    let mut fields = Table::new();
    let parent = node.parent.as_ref().map(Id::as_str);
    if let Some(parent) = parent {
        fields.insert("kind".to_owned(), node.kind.to_string().into());
        fields.insert("parent".to_owned(), parent.into());
    }
    fields.insert("name".to_owned(), node.name.as_str().into());
    let values: Table = node
        .overrides
        .iter()
        .map(|(key, value)| {
            let value = toml::Value::try_from(value.plain());
            (key.to_string(), value.expect("a plain value has no null"))
        })
        .collect();
    if !values.is_empty() {
        fields.insert("values".to_owned(), values.into());
    }
    fields
}
