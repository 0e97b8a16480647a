//! The digests that chain the revisions.

use cactusnotch_derive::identifier;
use derive_more::Display;
use sha2::Digest as _;
use sha2::Sha256;

use crate::Entry;

/// The SHA-256 digest of an entry in hexadecimal.
#[identifier]
#[derive(Display)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Returns the digest carried by the first entry, which has no predecessor.
    #[must_use]
    pub fn genesis() -> Self {
        Self("0".repeat(2 * Sha256::output_size()))
    }

    /// Returns the digest of `entry`, computed over its JSON text with the
    /// fields in order of declaration.
    ///
    /// # Panics
    ///
    /// Never panics: every entry can be serialized as JSON.
    #[must_use]
    pub fn of(entry: &Entry) -> Self {
        let text = serde_json::to_vec(entry).expect("an entry can be serialized as JSON");
        Self(format!("{:x}", Sha256::digest(text)))
    }
}
