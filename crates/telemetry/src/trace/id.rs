//! Identifiers of traces and spans.

use cactusnotch_derive::identifier;
use derive_more::Display;
use rand::Rng;

/// The identifier of a trace: 128 bits, never all zero.
#[identifier]
#[derive(Copy, Display)]
#[display("{_0:016x}{_1:016x}")]
pub struct Trace(u64, u64);

/// The identifier of a span: 64 bits, never all zero.
#[identifier]
#[derive(Copy, Display)]
#[display("{_0:016x}")]
pub struct Span(u64);

impl Trace {
    /// Generates an identifier from `random`.
    pub fn random(random: &mut impl Rng) -> Self {
        Self(random.random(), random.random_range(1..=u64::MAX))
    }

    /// Parses 32 lower-case hexadecimal digits that are not all zero.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (high, low) = text.split_at_checked(DIGITS)?;
        let id = Self(digits(high)?, digits(low)?);
        (id != Self(0, 0)).then_some(id)
    }
}

impl Span {
    /// Generates an identifier from `random`.
    pub fn random(random: &mut impl Rng) -> Self {
        Self(random.random_range(1..=u64::MAX))
    }

    /// Parses 16 lower-case hexadecimal digits that are not all zero.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let id = Self(digits(text)?);
        (id != Self(0)).then_some(id)
    }
}

/// The number of hexadecimal digits of 64 bits.
const DIGITS: usize = 16;

fn digits(text: &str) -> Option<u64> {
    let lower = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != DIGITS || !text.bytes().all(lower) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
