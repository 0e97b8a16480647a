//! The faults that a platform can be told to have.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

/// Whether and how the platform fails to answer.
#[record]
#[derive(Copy, Default)]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It answers each call with `503`, without effect.
    Unavailable,
    /// It breaks off each connection as soon as it is made.
    Refuse,
    /// It takes calls and leaves them unanswered. They are carried out when
    /// the outage ends, whether or not a caller still waits.
    Hang,
}

/// How the reply of a write gets lost after the write's effect.
#[record]
#[derive(Copy)]
pub enum Loss {
    /// The answer is `500`.
    Error,
    /// The connection is broken off.
    Drop,
}

/// A fault in what a watch is told.
#[record]
#[derive(Copy)]
pub enum Anomaly {
    /// The answer is a former version of the object that changed last.
    Repeat,
    /// A change does not end the wait: it is told only with the next one, and
    /// a version between is never seen.
    Skip,
}

/// The number of calls by method and kind.
pub type Calls = Table<(String, String), u64>;

/// The faults in force and the calls counted.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) outage: Outage,
    pub(crate) delay: Duration,
    pub(crate) lost: Vec<Loss>,
    pub(crate) anomalies: Vec<Anomaly>,
    pub(crate) rate: Option<Rate>,
    pub(crate) calls: Calls,
    pub(crate) limited: u64,
}

/// A limit of calls per second, as a bucket that holds one second's calls.
#[derive(Debug)]
pub(crate) struct Rate {
    per_second: f64,
    left: f64,
    at: Instant,
}

impl Rate {
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: f64::from(per_second),
            left: f64::from(per_second),
            at: now,
        }
    }

    /// Takes one call from the bucket, if it holds one.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.at).as_secs_f64() * self.per_second;
        self.left = (self.left + gained).min(self.per_second);
        self.at = now;
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }
}

impl Faults {
    /// Takes the loss that the next write is to suffer.
    pub(crate) fn next_loss(&mut self) -> Option<Loss> {
        (!self.lost.is_empty()).then(|| self.lost.remove(0))
    }

    /// Takes the anomaly that the next watch is to show.
    pub(crate) fn next_anomaly(&mut self) -> Option<Anomaly> {
        (!self.anomalies.is_empty()).then(|| self.anomalies.remove(0))
    }

    /// Counts a call and tells whether the rate limit lets it pass.
    pub(crate) fn admit(&mut self, method: &str, kind: &str, now: Instant) -> bool {
        let key = (method.to_owned(), kind.to_owned());
        *self.calls.get_or_insert_with(key, || 0) += 1;
        let passed = self.rate.as_mut().is_none_or(|rate| rate.take(now));
        if !passed {
            self.limited += 1;
        }
        passed
    }
}
