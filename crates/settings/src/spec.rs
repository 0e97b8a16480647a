//! Descriptions of keys.

use crate::{Key, Kind, Shape, Value};

/// The description of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spec {
    /// The key.
    pub key: Key,
    /// The key's name in files and on the command line.
    pub name: &'static str,
    /// The type and range of its values.
    pub shape: Shape,
    /// The unit of its values; empty if they have none.
    pub unit: &'static str,
    /// The value if neither the node nor an ancestor overrides it.
    pub default: Preset,
    /// What the value does.
    pub doc: &'static str,
    /// The kinds of nodes that may override the value.
    pub kinds: &'static [Kind],
}

impl Spec {
    /// Returns whether nodes of `kind` may override the value.
    #[must_use]
    pub fn is_for(&self, kind: Kind) -> bool {
        self.kinds.contains(&kind)
    }
}

/// A default value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// True or false.
    Boolean(bool),
    /// A whole number.
    Integer(u64),
    /// A decimal number, in millionths.
    Fraction(u32),
    /// A length of time, in milliseconds.
    Duration(u64),
    /// Text.
    Text(&'static str),
    /// A list of names.
    Names(&'static [&'static str]),
    /// No routes.
    NoRoutes,
}

impl From<Preset> for Value {
    fn from(preset: Preset) -> Self {
        match preset {
            Preset::Boolean(value) => Self::Boolean(value),
            Preset::Integer(value) => Self::Integer(value),
            Preset::Fraction(value) => Self::Fraction(value),
            Preset::Duration(value) => Self::Duration(value),
            Preset::Text(value) => Self::Text(value.to_owned()),
            Preset::Names(names) => {
                Self::Names(names.iter().map(|&name| name.to_owned()).collect())
            }
            Preset::NoRoutes => Self::Routes(Vec::new()),
        }
    }
}
