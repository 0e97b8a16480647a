//! Ejection of endpoints that fail, and their way back.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Options;

/// The record of an endpoint's failures.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    probing: bool,
}

/// Whether the record of failures allows a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fitness {
    /// The endpoint is fit.
    Fit,
    /// The endpoint is due for one request that tries it.
    Due,
    /// The endpoint is ejected.
    Ejected,
}

impl Health {
    /// Tells whether the endpoint may get a request.
    pub(crate) fn fitness(&self, now: Instant) -> Fitness {
        match self.until {
            None => Fitness::Fit,
            Some(until) if now >= until && !self.probing => Fitness::Due,
            Some(_) => Fitness::Ejected,
        }
    }

    /// Notes that a request which tries the endpoint is under way.
    pub(crate) fn begin_probe(&mut self) {
        self.probing = self.until.is_some();
    }

    /// Notes that a request which tried the endpoint ended without a verdict.
    pub(crate) fn abandon_probe(&mut self) {
        self.probing = false;
    }

    /// Notes an answer.
    pub(crate) fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure, which may eject the endpoint.
    pub(crate) fn fail(&mut self, probe: bool, now: Instant, options: &Options) {
        self.failures = self.failures.saturating_add(1);
        let ejected = self.until.is_some();
        if probe || (!ejected && self.failures >= options.failures) {
            self.until = Some(now + self.term(options));
            self.ejections = self.ejections.saturating_add(1);
            self.probing = false;
        }
    }

    fn term(&self, options: &Options) -> Duration {
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        options
            .ejection
            .saturating_mul(factor)
            .min(options.ejection_max)
    }
}
