//! The first message from each side.

use cactusnotch_derive::message;

use crate::Identity;

/// The version of the link protocol that this crate implements.
pub const VERSION: u16 = 1;

/// The length of a nonce, in bytes.
const NONCE_LENGTH: usize = 32;

/// Announces a version and an identity, and challenges the peer with a nonce.
#[message]
pub(crate) struct Hello {
    pub(crate) version: u16,
    pub(crate) identity: Identity,
    pub(crate) nonce: [u8; NONCE_LENGTH],
}

/// The fields of a [`Hello`] that are common to all versions.
#[message]
pub(crate) struct Announcement {
    pub(crate) version: u16,
}

impl Hello {
    pub(crate) fn new(version: u16, identity: &Identity) -> Self {
        Self {
            version,
            identity: identity.clone(),
            nonce: rand::random(),
        }
    }
}
