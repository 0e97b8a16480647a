//! Values as they hold at a node, with the node each comes from.

use std::fmt;

use cactusnotch_derive::record;
use serde::{Serialize, Serializer};

use crate::{Error, Id, KEYS, Key, Tree, Value};

/// What the source column shows for a default.
const DEFAULT: &str = "(default)";

/// A value as it holds at a node.
#[record]
#[derive(Serialize)]
pub struct Effective {
    /// The key.
    pub key: Key,
    /// The value.
    #[serde(serialize_with = "plain")]
    pub value: Value,
    /// The node that overrides the value; none: the default holds.
    pub from: Option<Id>,
}

/// All values that mean something at a node. It shows as a table of text and
/// serializes for machines.
#[record]
#[derive(Serialize)]
pub struct Listing {
    /// The node.
    pub node: Id,
    /// The names from below the root down to the node.
    pub path: String,
    /// The values in the order of the table of keys.
    pub values: Vec<Effective>,
}

impl Listing {
    pub(crate) fn new(tree: &Tree, id: &Id) -> Result<Self, Error> {
        let node = tree.node(id).ok_or(Error::Missing { node: id.clone() })?;
        let values = KEYS
            .iter()
            .filter(|spec| spec.is_for(node.kind))
            .map(|spec| tree.inherited(id, spec.key))
            .collect();
        Ok(Self {
            node: id.clone(),
            path: tree.path(id),
            values,
        })
    }

    fn width(&self, cell: impl Fn(&Effective) -> usize) -> usize {
        self.values.iter().map(cell).max().unwrap_or_default()
    }
}

impl fmt::Display for Listing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.width(|row| row.key.spec().name.len());
        let values = self.width(|row| row.value.to_string().len());
        writeln!(f, "{} ({})", self.node, self.path)?;
        writeln!(f, "{:keys$}  {:values$}  FROM", "KEY", "VALUE")?;
        for row in &self.values {
            let key = row.key.spec().name;
            let value = row.value.to_string();
            let from = row.from.as_ref().map_or(DEFAULT, Id::as_str);
            writeln!(f, "{key:keys$}  {value:values$}  {from}")?;
        }
        Ok(())
    }
}

fn plain<S: Serializer>(value: &Value, serializer: S) -> Result<S::Ok, S::Error> {
    value.plain().serialize(serializer)
}
