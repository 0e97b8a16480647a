//! Which endpoints currently get no requests.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name;
use cactusnotch_route::Withheld;

use super::Fleet;
use crate::endpoint::Endpoint;
use cactusnotch_throttle::Rate;

/// Why an endpoint that was chosen gets no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Exclusion {
    /// The endpoint is leaving.
    #[display("the endpoint began to leave")]
    Leaving,
    /// Its data centre is evacuated.
    #[display("the endpoint's data centre is evacuated")]
    Evacuated,
    /// The endpoint has asked for a back-off.
    #[display("the endpoint rests")]
    BackingOff,
    /// This entry has used its allotment of the endpoint's rate limit.
    #[display("the endpoint is at its limit")]
    Limited,
    /// This entry has used its allotment of the endpoint's warm-up limit.
    #[display("the endpoint is cold and takes no more")]
    WarmingUp,
}

/// Counts of a service's endpoints that currently get no requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Exclusions {
    /// Endpoints in back-off.
    pub(crate) resting: usize,
    /// Endpoints at their rate limit.
    pub(crate) limited: usize,
    /// Endpoints at their warm-up limit.
    pub(crate) cold: usize,
    /// Endpoints at their rate or warm-up limit of which this entry has an allotment.
    pub(crate) shared: usize,
    /// Sum of the rate and warm-up limits of all endpoints that have one, in requests per
    /// second from all entries together.
    pub(crate) rate: f64,
}

impl Fleet {
    /// Counts a request that is about to be sent to an endpoint, unless the endpoint
    /// currently gets none. All requests pass through here, including repeated and resumed
    /// ones.
    pub(crate) fn admit(&mut self, endpoint: &Endpoint, now: Instant) -> Result<(), Exclusion> {
        let instance = endpoint.instance.as_str();
        if let Some(exclusion) = self.exclusion(endpoint, now) {
            return Err(exclusion);
        }
        self.limits.record_send(instance, now);
        self.warmups.record_send(instance, now);
        self.backoffs.record_send(instance, now);
        self.withhold(&endpoint.service, &endpoint.id, instance);
        Ok(())
    }

    /// Returns why an endpoint currently gets no requests, `None` if it does get them.
    fn exclusion(&self, endpoint: &Endpoint, now: Instant) -> Option<Exclusion> {
        let holds = |withheld: Option<Withheld>| withheld.is_some_and(|w| w.is_active(now));
        let instance = endpoint.instance.as_str();
        if self.is_evacuated(endpoint) {
            Some(Exclusion::Evacuated)
        } else if !self.takes_work(&endpoint.id) {
            Some(Exclusion::Leaving)
        } else if holds(self.backoffs.withheld(instance)) {
            Some(Exclusion::BackingOff)
        } else if holds(self.limits.withheld(instance)) {
            Some(Exclusion::Limited)
        } else if holds(self.warmups.withheld(instance)) {
            Some(Exclusion::WarmingUp)
        } else {
            None
        }
    }

    /// Counts the endpoints of a service that currently get no requests.
    pub(crate) fn exclusions(&self, service: &str, now: Instant) -> Exclusions {
        let mut exclusions = Exclusions::default();
        for endpoint in self.iter().filter(|endpoint| endpoint.service == service) {
            let instance = endpoint.instance.as_str();
            let limit = self.limits.rate(instance);
            let limit = limit.or_else(|| self.warmups.rate(instance));
            exclusions.rate += limit.map_or(0.0, Rate::per_second);
            match self.exclusion(endpoint, now) {
                Some(Exclusion::BackingOff) => exclusions.resting += 1,
                Some(Exclusion::Limited) => {
                    exclusions.limited += 1;
                    exclusions.shared += usize::from(self.limits.is_holder(instance));
                }
                Some(Exclusion::WarmingUp) => {
                    exclusions.cold += 1;
                    exclusions.shared += usize::from(self.warmups.is_holder(instance));
                }
                Some(Exclusion::Leaving | Exclusion::Evacuated) | None => {}
            }
        }
        exclusions
    }

    /// Returns whether this entry has an allotment of an endpoint's rate limit.
    pub(crate) fn shares_limit(&self, instance: &str) -> bool {
        self.limits.is_holder(instance)
    }

    /// Returns the number of endpoints with a rate limit.
    pub(crate) fn limited(&self) -> usize {
        self.limits.limited()
    }

    /// Returns the number of endpoints in back-off.
    pub(crate) fn backing_off(&self, now: Instant) -> usize {
        self.backoffs.active(now)
    }

    /// Returns until when an endpoint gets no requests, by all of its limits.
    pub(super) fn withheld(&self, instance: &str) -> Option<Withheld> {
        self.limits
            .withheld(instance)
            .max(self.backoffs.withheld(instance))
            .max(self.warmups.withheld(instance))
    }

    /// Updates the router with the time until which an endpoint gets no requests.
    pub(super) fn withhold(&mut self, service: &str, id: &str, instance: &str) {
        let withheld = self.withheld(instance);
        if let Some(router) = self.routers.get_mut(service) {
            router.withhold(&name::Endpoint::new(id), withheld);
        }
    }
}
