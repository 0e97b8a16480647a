//! The first message of each side.

use cactusnotch_derive::message;

use crate::Identity;

/// The version of the links' protocol that this crate speaks.
pub const VERSION: u16 = 1;

/// The length of a nonce, in bytes.
const NONCE_LENGTH: usize = 32;

/// Announces a side and challenges the other with a nonce.
#[message]
pub(crate) struct Hello {
    pub(crate) version: u16,
    pub(crate) identity: Identity,
    pub(crate) nonce: [u8; NONCE_LENGTH],
}

/// The part of a [`Hello`] that every version has.
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
