//! The throttling headers of an endpoint's responses.

use std::time::Duration;

use crate::Rate;

/// The value of a response header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Header<T> {
    /// The header is absent.
    #[default]
    Absent,
    /// The header has this value.
    Value(T),
    /// The header's value cannot be parsed.
    Invalid,
}

impl<T: Copy> Header<T> {
    /// Combines all `values` of a repeated header, where `None` is a value that cannot be parsed.
    /// The strictest value according to `stricter` applies, but a single `None` makes the header
    /// invalid.
    pub fn strictest(
        values: impl IntoIterator<Item = Option<T>>,
        stricter: impl Fn(T, T) -> bool,
    ) -> Self {
        let mut strictest = Self::Absent;
        for value in values {
            strictest = match (value, strictest) {
                (None, _) => return Self::Invalid,
                (Some(value), Self::Value(current)) if !stricter(value, current) => strictest,
                (Some(value), _) => Self::Value(value),
            };
        }
        strictest
    }
}

/// The throttling headers of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Headers {
    /// The rate limit for all entries together, which applies as long as responses announce it.
    pub limit: Header<Rate>,
    /// The back-off requested from this entry by a refusal.
    pub backoff: Header<Duration>,
    /// Whether the endpoint is leaving and accepts no new requests.
    pub leaving: bool,
}

impl Headers {
    /// Parses a rate limit; the lowest of several values applies.
    pub fn read_limit<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Header<Rate> {
        let rate = |text: Option<&str>| Rate::new(number(text?)?);
        Header::strictest(values.into_iter().map(rate), |rate, current| rate < current)
    }

    /// Parses a back-off in seconds; the longest of several values applies. A value beyond the
    /// range of [`Duration`] saturates.
    pub fn read_backoff<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Header<Duration> {
        let backoff = |text: Option<&str>| {
            let seconds = number(text?)?;
            let is_time = seconds.is_finite() && !seconds.is_sign_negative();
            is_time.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        };
        Header::strictest(values.into_iter().map(backoff), |backoff, current| {
            backoff > current
        })
    }
}

fn number(text: &str) -> Option<f64> {
    text.trim().parse().ok()
}
