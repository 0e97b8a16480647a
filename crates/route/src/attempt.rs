//! A request on its way at an endpoint.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_derive::record;

use crate::Service;

/// A request on its way at an endpoint, from [`crate::Router::start`] to
/// [`crate::Router::finish`].
#[record]
pub struct Attempt {
    pub(crate) endpoint: Endpoint,
    pub(crate) service: Service,
    pub(crate) tokens: u32,
    /// The first-token time that an endpoint of usual speed would take.
    pub(crate) usual: Duration,
    /// The expected wait for a slot.
    pub(crate) wait: Duration,
    pub(crate) probe: bool,
    pub(crate) started: Instant,
    pub(crate) first: Option<Instant>,
}

impl Attempt {
    /// Returns the endpoint that the request went to.
    #[must_use]
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the first-token time as a multiple of the usual one.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.started);
        let usual = self.usual.max(Duration::from_micros(1));
        (time.as_secs_f64() / usual.as_secs_f64()).clamp(0.1, 10.0)
    }

    /// Returns the mean time between pieces, in seconds, if there was one.
    pub(crate) fn step(&self, pieces: u32, now: Instant) -> Option<f64> {
        let steps = pieces.checked_sub(1).filter(|&n| n > 0)?;
        let time = now.saturating_duration_since(self.first?);
        Some(time.as_secs_f64() / f64::from(steps))
    }

    /// Returns how long the request held its slot, in seconds.
    pub(crate) fn residence(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.started);
        time.saturating_sub(self.wait).as_secs_f64()
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer came whole, in this many pieces.
    Answered {
        /// The pieces, usually tokens.
        pieces: u32,
    },
    /// The endpoint failed: an error, a broken link or no answer in time.
    Failed,
    /// The endpoint refused in good order, or the caller went away, so that
    /// nothing is learnt of its health.
    Inconclusive,
}
