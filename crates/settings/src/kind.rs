//! Kinds of nodes.

use cactusnotch_derive::identifier;
use derive_more::Display;

/// What a node represents.
#[identifier]
#[derive(Copy, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The top of the tree.
    #[display("root")]
    Root,
    /// Values shared by the nodes below.
    #[display("policy")]
    Policy,
    /// An organisation, or a part of one.
    #[display("organisation")]
    Organisation,
    /// A group of ranks that serves a model.
    #[display("model-group")]
    ModelGroup,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Root,
        Self::Policy,
        Self::Organisation,
        Self::ModelGroup,
    ];

    /// Returns whether a node of kind `child` may be a child of this kind.
    #[must_use]
    pub const fn may_contain(self, child: Self) -> bool {
        match self {
            Self::Root | Self::Policy => !matches!(child, Self::Root),
            Self::Organisation => matches!(child, Self::Organisation),
            Self::ModelGroup => false,
        }
    }

    /// Returns the kind with the given name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}
