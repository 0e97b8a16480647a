//! What a request asks for.

use cactusnotch_base::name::Model;
use cactusnotch_derive::identifier;
use derive_more::Display;

/// What a request asks for: a model, or a plain service by its path.
#[identifier]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Service {
    /// A model, served by model servers.
    Model(Model),
    /// A plain service, named by the prefix of its paths.
    Path(String),
}

impl Service {
    /// Tells whether `path` lies under the prefix of this plain service.
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
