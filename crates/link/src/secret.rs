//! The cluster's secret.

use std::fmt;

use derive_more::{Display, Error};

/// The shortest allowed secret, in bytes.
pub const MIN_LENGTH: usize = 16;

/// A secret that all processes of a cluster share.
///
/// Its bytes are never printed: `Debug` shows a placeholder.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

/// A refusal of a secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The secret is too short to resist guessing.
    #[display("a secret needs at least {MIN_LENGTH} bytes, this one has {length}")]
    Short {
        /// The length of the refused secret, in bytes.
        length: usize,
    },
}

impl Secret {
    /// Creates a secret from its bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Short`] for fewer than [`MIN_LENGTH`] bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Result<Self, Error> {
        let bytes = bytes.into();
        if bytes.len() < MIN_LENGTH {
            return Err(Error::Short {
                length: bytes.len(),
            });
        }
        Ok(Self(bytes))
    }

    /// Returns the secret's bytes, as a key for a MAC.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(redacted)")
    }
}
