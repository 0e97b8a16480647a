//! What two attempts of one request have in common.

use std::fmt;

use cactusnotch_derive::number;
use http::Method;
use sha2::{Digest, Sha256};

/// The bytes of the digest that are kept: two requests of a day's hundred million agree in
/// them by chance once in 10^22 days.
const LENGTH: usize = 16;

/// A digest of a request's caller, method, target and body. An attempt's id is new each
/// time a caller comes back; this stays, at any entry.
#[number]
pub struct Fingerprint([u8; LENGTH]);

/// The parts of a request that stay the same over its attempts.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// The organisation that sends it, if its route needs one.
    pub organisation: Option<&'a str>,
    /// The method.
    pub method: &'a Method,
    /// The host that it asks for.
    pub host: &'a [u8],
    /// The path and the query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Returns the digest of `parts`. It can't be chosen, so that no caller can have its
    /// request taken for another's.
    #[must_use]
    pub fn of(parts: &Parts<'_>) -> Self {
        let Parts {
            organisation,
            method,
            host,
            target,
            body,
        } = *parts;
        let mut hash = Sha256::new();
        hash.update([u8::from(organisation.is_some())]);
        let named = organisation.unwrap_or_default().as_bytes();
        for part in [named, method.as_str().as_bytes(), host, target.as_bytes()] {
            // With its length, so that parts can't be moved from one to the next.
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        let mut kept = [0; LENGTH];
        kept.copy_from_slice(&hash.finalize()[..LENGTH]);
        Self(kept)
    }

    /// Reads what [`fmt::Display`] has written.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
