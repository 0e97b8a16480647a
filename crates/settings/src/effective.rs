//! Effective values at a node, with the node that each is inherited from.

use std::fmt;

use cactusnotch_derive::record;
use serde::{Serialize, Serializer};

use crate::{Error, Id, KEYS, Key, Tree, Value};

/// The text in the source column for a default.
const DEFAULT: &str = "(default)";

/// The effective value of a key at a node.
#[record]
#[derive(Serialize)]
pub struct Effective {
    /// The key.
    pub key: Key,
    /// The value.
    #[serde(serialize_with = "plain")]
    pub value: Value,
    /// The node that overrides the value; `None` if the default applies.
    pub from: Option<Id>,
}

/// All values that apply to a node. It is displayed as a text table and
/// serializes for programs.
#[record]
#[derive(Serialize)]
pub struct Listing {
    /// The node.
    pub node: Id,
    /// The names from below the root down to the node, joined by `/`.
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
