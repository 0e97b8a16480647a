//! Ejection of failing endpoints and probing for their recovery.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Options;

/// The failure history of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

/// Whether an endpoint's failure history allows a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// The endpoint is not ejected.
    Eligible,
    /// The ejection time is over; one request may probe the endpoint.
    ProbeDue,
    /// The endpoint is ejected, or a probe is in flight.
    Ejected,
}

impl Health {
    /// Returns whether the endpoint may receive a request.
    pub(crate) fn eligibility(&self, now: Instant) -> Eligibility {
        match self.ejected_until {
            None => Eligibility::Eligible,
            Some(until) if now >= until && !self.probing => Eligibility::ProbeDue,
            Some(_) => Eligibility::Ejected,
        }
    }

    /// Records that a probe request is in flight.
    pub(crate) fn begin_probe(&mut self) {
        self.probing = self.ejected_until.is_some();
    }

    /// Records that a probe request ended without showing whether the endpoint works.
    pub(crate) fn abandon_probe(&mut self) {
        self.probing = false;
    }

    /// Records a success, which clears the failure history.
    pub(crate) fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure, which may eject the endpoint.
    pub(crate) fn fail(&mut self, probe: bool, now: Instant, options: &Options) {
        self.failures = self.failures.saturating_add(1);
        let ejected = self.ejected_until.is_some();
        if probe || (!ejected && self.failures >= options.failures) {
            self.ejected_until = Some(now + self.ejection_time(options));
            self.ejections = self.ejections.saturating_add(1);
            self.probing = false;
        }
    }

    /// Returns the length of the next ejection, which doubles with each one.
    fn ejection_time(&self, options: &Options) -> Duration {
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        options
            .ejection
            .saturating_mul(factor)
            .min(options.ejection_max)
    }
}
