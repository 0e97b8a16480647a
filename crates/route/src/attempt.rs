//! An attempt to run a request on an endpoint.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_derive::record;

use crate::Service;

/// A request in flight to an endpoint, from [`crate::Router::start`] to
/// [`crate::Router::finish`].
#[record]
pub struct Attempt {
    pub(crate) endpoint: Endpoint,
    pub(crate) service: Service,
    pub(crate) tokens: u32,
    /// The predicted time to the first token on an endpoint of average speed.
    pub(crate) baseline: Duration,
    /// The expected wait for a slot.
    pub(crate) wait: Duration,
    pub(crate) probe: bool,
    pub(crate) started: Instant,
    pub(crate) first: Option<Instant>,
}

impl Attempt {
    /// Returns the endpoint that the request was sent to.
    #[must_use]
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the time to the first token as a multiple of the baseline,
    /// clamped to between 0.1 and 10.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.started);
        let baseline = self.baseline.max(Duration::from_micros(1));
        (time.as_secs_f64() / baseline.as_secs_f64()).clamp(0.1, 10.0)
    }

    /// Returns the mean time between pieces in seconds, or `None` if there were
    /// fewer than two pieces.
    pub(crate) fn step(&self, pieces: u32, now: Instant) -> Option<f64> {
        let steps = pieces.checked_sub(1).filter(|&n| n > 0)?;
        let time = now.saturating_duration_since(self.first?);
        Some(time.as_secs_f64() / f64::from(steps))
    }

    /// Returns how long the request occupied a slot, in seconds.
    pub(crate) fn service_time(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.started);
        time.saturating_sub(self.wait).as_secs_f64()
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response was complete.
    Answered {
        /// The number of pieces, usually tokens.
        pieces: u32,
    },
    /// The endpoint failed: an error, a broken link or a time-out.
    Failed,
    /// The endpoint refused the request properly or the caller cancelled it,
    /// which gives no information on the endpoint's health.
    Inconclusive,
}
