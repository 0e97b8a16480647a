//! Values of settings and their validation.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::name::{DataCentre, Host, Region};
use cactusnotch_base::number::Incarnation;
use cactusnotch_telemetry::log::Format;
use derive_more::{Display, Error as StdError};
use tracing::level_filters::LevelFilter;

/// The longest name of a host, a data centre or a region, in bytes.
const MAX_NAME: usize = 64;

/// A value that can be parsed from a setting's text.
pub trait Value: Sized {
    /// The allowed values, worded as the end of an error message.
    const ALLOWED: &'static str;

    /// Parses the value, or returns `None` if the text is invalid.
    fn read(text: &str) -> Option<Self>;
}

/// A setting with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Display, StdError)]
#[display("--{flag} ({variable}): {value:?} isn't allowed; allowed: {allowed}")]
pub struct Error {
    /// The flag, without its dashes.
    pub flag: &'static str,
    /// The environment variable of the flag.
    pub variable: String,
    /// The refused value.
    pub value: String,
    /// The allowed values.
    pub allowed: &'static str,
}

/// Returns the name of the environment variable of `flag`.
#[must_use]
pub fn variable(flag: &str) -> String {
    format!("CACTUSNOTCH_{}", flag.to_uppercase().replace('-', "_"))
}

/// Returns a function that parses the value of `flag`, which is named without
/// its dashes.
///
/// # Errors
///
/// The function returns an [`Error`] if the value is invalid.
pub fn checked<V: Value>(flag: &'static str) -> impl Fn(String) -> Result<V, Error> {
    move |text| {
        V::read(&text).ok_or_else(|| Error {
            flag,
            variable: variable(flag),
            value: text,
            allowed: V::ALLOWED,
        })
    }
}

impl Value for SocketAddr {
    const ALLOWED: &'static str = "an IP address with a port, such as 127.0.0.1:7100 or [::1]:7100";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for Duration {
    const ALLOWED: &'static str = "a time above zero with its unit, such as 1500ms, 2s or 5m";

    fn read(text: &str) -> Option<Self> {
        let duration = humantime::parse_duration(text).ok()?;
        (!duration.is_zero()).then_some(duration)
    }
}

impl Value for Incarnation {
    const ALLOWED: &'static str = "a whole number from 0 to 18446744073709551615";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl Value for Format {
    const ALLOWED: &'static str = "text or json";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for LevelFilter {
    const ALLOWED: &'static str = "off, error, warn, info, debug or trace";

    fn read(text: &str) -> Option<Self> {
        let words = ["off", "error", "warn", "info", "debug", "trace"];
        words.contains(&text).then(|| text.parse().ok()).flatten()
    }
}

macro_rules! names {
    ($($name:ident),*) => {$(
        impl Value for $name {
            const ALLOWED: &'static str =
                "1 to 64 letters, digits, dots, dashes and underscores, the first a letter or a digit";

            fn read(text: &str) -> Option<Self> {
                is_name(text).then(|| Self::new(text))
            }
        }
    )*};
}

names!(Host, DataCentre, Region);

fn is_name(text: &str) -> bool {
    let inner = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    text.len() <= MAX_NAME
        && text
            .bytes()
            .next()
            .is_some_and(|first| first.is_ascii_alphanumeric())
        && text.bytes().all(inner)
}
