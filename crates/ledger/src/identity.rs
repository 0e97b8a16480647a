//! The identity of a request.

use cactusnotch_base::name::Organisation;
use cactusnotch_base::outcome::Key;
use cactusnotch_derive::identifier;
use xxhash_rust::xxh3::Xxh3;

/// What a caller names a request by: its key, within its organisation.
#[identifier]
pub struct Identity {
    /// The organisation of the caller.
    pub organisation: Organisation,
    /// The key that the caller gave, or that the entry made up.
    pub key: Key,
}

impl Identity {
    /// Returns a hash of the identity that is the same in every process.
    #[must_use]
    pub fn fingerprint(&self) -> u128 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.organisation.as_str().len().to_le_bytes());
        hasher.update(self.organisation.as_str().as_bytes());
        hasher.update(self.key.as_str().as_bytes());
        hasher.digest128()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.organisation.as_str().len() + self.key.as_str().len()
    }
}
