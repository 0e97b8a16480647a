//! Identifies the attempts of one request by a fingerprint of its content.

use std::fmt;

use cactusnotch_derive::number;
use http::Method;
use sha2::{Digest, Sha256};

/// The length of the fingerprint in bytes. With a hundred million requests a day, two of
/// them collide by chance once in 10^22 days.
const LENGTH: usize = 16;

/// The first byte that is hashed for a part of prompts; it is zero or one for a content.
const PART: u8 = 2;

/// A digest of a request's organisation, method, host, target and body. The id of an
/// attempt changes with each retry; the fingerprint is the same for all attempts at all
/// entries. Parts of prompts have fingerprints as well.
#[number]
pub struct Fingerprint([u8; LENGTH]);

/// The parts of a request that are the same for all its attempts.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// The organisation of the caller, if the route requires one.
    pub organisation: Option<&'a str>,
    /// The method.
    pub method: &'a Method,
    /// The `Host` header.
    pub host: &'a [u8],
    /// The path and the query.
    pub target: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Returns the fingerprint of `parts`. The cryptographic hash prevents a caller from
    /// forging a request that matches another caller's fingerprint.
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
            // The length prefix prevents ambiguity between adjacent parts.
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        Self::kept(hash)
    }

    /// Returns the fingerprint of a part of prompts of requests to `service`. No request has it
    /// as the fingerprint of its content.
    #[must_use]
    pub fn of_part(service: &str, id: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update([PART]);
        hash.update(service.len().to_be_bytes());
        hash.update(service);
        hash.update(id);
        Self::kept(hash)
    }

    fn kept(hash: Sha256) -> Self {
        let mut kept = [0; LENGTH];
        kept.copy_from_slice(&hash.finalize()[..LENGTH]);
        Self(kept)
    }

    /// Parses the output of [`fmt::Display`].
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
