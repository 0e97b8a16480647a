//! The proof that a side holds one of the cluster's secrets.

use cactusnotch_derive::message;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Secret;

/// Domain separator of these MACs from other uses of the secret.
const DOMAIN: &[u8] = b"cactusnotch link proof 1";

/// The most secrets and codes that are tried for one proof.
const MAX_CODES: usize = 4;

/// The side that a proof belongs to. It is part of the MAC, so a proof cannot
/// be reflected as the other side's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Dialer,
    Acceptor,
}

/// Both hellos as sent on the wire; their nonces make the transcript unique.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transcript<'a> {
    pub(crate) dialer: &'a [u8],
    pub(crate) acceptor: &'a [u8],
}

/// One HMAC-SHA256 code for each secret that the side holds.
#[message]
pub(crate) struct Proof {
    codes: Vec<[u8; 32]>,
}

/// The acceptor's answer to the dialer's proof.
#[message]
pub(crate) enum Verdict {
    Accepted(Proof),
    Refused { reason: String },
}

impl Proof {
    pub(crate) fn new(secrets: &[Secret], side: Side, transcript: Transcript<'_>) -> Self {
        let code = |secret| mac(secret, side, transcript).finalize().into_bytes().into();
        Self {
            codes: secrets.iter().take(MAX_CODES).map(code).collect(),
        }
    }

    /// Returns whether one of the codes was made with one of `secrets`.
    pub(crate) fn verifies(
        &self,
        secrets: &[Secret],
        side: Side,
        transcript: Transcript<'_>,
    ) -> bool {
        let codes = || self.codes.iter().take(MAX_CODES);
        secrets.iter().take(MAX_CODES).any(|secret| {
            let expected = mac(secret, side, transcript);
            codes().any(|code| expected.clone().verify_slice(code).is_ok())
        })
    }
}

fn mac(secret: &Secret, side: Side, transcript: Transcript<'_>) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes a key of any length");
    mac.update(DOMAIN);
    mac.update(&[side as u8]);
    for hello in [transcript.dialer, transcript.acceptor] {
        mac.update(&(hello.len() as u64).to_be_bytes());
        mac.update(hello);
    }
    mac
}
