//! The service that a request is addressed to.

use cactusnotch_base::name::Model;
use cactusnotch_derive::identifier;
use derive_more::Display;

/// The service that a request is addressed to: a model, or a plain service
/// identified by its path.
#[identifier]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Service {
    /// A model, served by model servers.
    Model(Model),
    /// A plain service, identified by its path prefix.
    Path(String),
}

impl Service {
    /// Returns whether `path` is under the prefix of this plain service.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        match self {
            Self::Model(_) => false,
            Self::Path(prefix) => path
                .strip_prefix(prefix.trim_end_matches('/'))
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?'])),
        }
    }

    /// Returns the length of the prefix of this plain service.
    pub(crate) fn prefix_len(&self) -> usize {
        match self {
            Self::Model(_) => 0,
            Self::Path(prefix) => prefix.len(),
        }
    }
}
