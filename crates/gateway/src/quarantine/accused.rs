//! What the crash of an endpoint accuses.

use cactusnotch_derive::record;

use crate::content::Fingerprint;

/// A request during which an endpoint has crashed: its content, or one of the parts of its
/// prompt that other requests share, may have caused the crash.
#[record]
pub struct Accused {
    /// The fingerprint that all attempts of the request have in common.
    pub content: Fingerprint,
    /// The fingerprints of the shared parts of its prompt.
    pub parts: Vec<Fingerprint>,
}

impl Accused {
    /// Returns all fingerprints.
    pub fn all(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().copied())
    }

    /// Returns whether the request has this fingerprint.
    #[must_use]
    pub fn has(&self, fingerprint: Fingerprint) -> bool {
        self.all().any(|own| own == fingerprint)
    }
}
