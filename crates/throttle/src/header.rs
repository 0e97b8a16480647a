//! What an endpoint says of itself in the head of an answer.

use std::time::Duration;

use crate::Rate;

/// A value in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Header<T> {
    /// The head has none.
    #[default]
    Absent,
    /// The head has this one.
    Value(T),
    /// The head has one that means nothing.
    Invalid,
}

impl<T: Copy> Header<T> {
    /// Returns what all `values` of a header say together, each `None` if it can't be read. The
    /// one that is `stricter` than the others counts, and one that can't be read makes all of
    /// them unreadable.
    pub fn strictest(
        values: impl IntoIterator<Item = Option<T>>,
        stricter: impl Fn(T, T) -> bool,
    ) -> Self {
        let mut strictest = Self::Absent;
        for value in values {
            strictest = match (value, strictest) {
                (None, _) => return Self::Invalid,
                (Some(value), Self::Value(known)) if !stricter(value, known) => strictest,
                (Some(value), _) => Self::Value(value),
            };
        }
        strictest
    }
}

/// What an endpoint says of itself in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Headers {
    /// The requests that it takes from all entries together, for as long as it says so.
    pub limit: Header<Rate>,
    /// How long it wants no request from this entry, said as it turns one away.
    pub backoff: Header<Duration>,
    /// Whether it takes no new requests since it is about to leave.
    pub leaving: bool,
}

impl Headers {
    /// Reads a limit: of several values the lowest counts.
    pub fn read_limit<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Header<Rate> {
        let rate = |text: Option<&str>| Rate::new(number(text?)?);
        Header::strictest(values.into_iter().map(rate), |rate, known| rate < known)
    }

    /// Reads a rest in seconds, the longest of several. One beyond all times is the longest
    /// that there is.
    pub fn read_backoff<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Header<Duration> {
        let rest = |text: Option<&str>| {
            let seconds = number(text?)?;
            let is_time = seconds.is_finite() && !seconds.is_sign_negative();
            is_time.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        };
        Header::strictest(values.into_iter().map(rest), |rest, known| rest > known)
    }
}

fn number(text: &str) -> Option<f64> {
    text.trim().parse().ok()
}
