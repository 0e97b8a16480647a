//! Identifiers of nodes.

use cactusnotch_derive::identifier;
use derive_more::Display;

/// The longest identifier or name, in bytes.
pub(crate) const LENGTH_LIMIT: usize = 128;

/// The identifier of a node, which stays the same when the node is renamed or
/// moved.
#[identifier]
#[derive(Display)]
#[serde(transparent)]
pub struct Id(String);

impl Id {
    /// Creates the identifier from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the identifier of the root, which every tree has.
    #[must_use]
    pub fn root() -> Self {
        Self::new("root")
    }

    /// Returns the identifier as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the text consists of 1 to 128 lower-case letters,
    /// digits, `-`, `_` and `.`.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        let allowed = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
        };
        (1..=LENGTH_LIMIT).contains(&self.0.len()) && self.0.bytes().all(allowed)
    }
}

impl From<&str> for Id {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}
