//! Which endpoints get no request for now.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name;
use cactusnotch_route::Withheld;

use super::Fleet;
use crate::endpoint::Endpoint;
use cactusnotch_throttle::Rate;

/// Why an endpoint that was chosen gets no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Exclusion {
    /// It is leaving.
    #[display("the endpoint began to leave")]
    Leaving,
    /// Its data centre is evacuated.
    #[display("the endpoint's data centre is evacuated")]
    Evacuated,
    /// It has asked for rest.
    #[display("the endpoint rests")]
    Resting,
    /// This entry has used its part of the limit.
    #[display("the endpoint is at its limit")]
    Limited,
    /// This entry has used its part of what a cold endpoint takes.
    #[display("the endpoint is cold and takes no more")]
    Cold,
}

/// The endpoints of a service that get no request for now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Exclusions {
    /// Those that rest.
    pub(crate) resting: usize,
    /// Those at their limit.
    pub(crate) limited: usize,
    /// Those that are cold.
    pub(crate) cold: usize,
    /// Those at their limit or cold whose requests this entry shares.
    pub(crate) shared: usize,
    /// The requests a second that all entries together may send to all endpoints that have a
    /// limit or are cold.
    pub(crate) rate: f64,
}

impl Fleet {
    /// Takes that a request is about to be sent to an endpoint, if that may get one. All
    /// requests come by here, repeated and resumed ones as well.
    pub(crate) fn admit(&mut self, endpoint: &Endpoint, now: Instant) -> Result<(), Exclusion> {
        let instance = endpoint.instance.as_str();
        if let Some(exclusion) = self.exclusion(endpoint, now) {
            return Err(exclusion);
        }
        self.limits.record_send(instance, now);
        self.cold.record_send(instance, now);
        self.rests.record_send(instance, now);
        self.withhold(&endpoint.service, &endpoint.id, instance);
        Ok(())
    }

    /// Returns why an endpoint gets no request now, if it gets none.
    fn exclusion(&self, endpoint: &Endpoint, now: Instant) -> Option<Exclusion> {
        let holds = |withheld: Option<Withheld>| withheld.is_some_and(|w| w.is_active(now));
        let instance = endpoint.instance.as_str();
        if self.is_evacuated(endpoint) {
            Some(Exclusion::Evacuated)
        } else if !self.takes_work(&endpoint.id) {
            Some(Exclusion::Leaving)
        } else if holds(self.rests.withheld(instance)) {
            Some(Exclusion::Resting)
        } else if holds(self.limits.withheld(instance)) {
            Some(Exclusion::Limited)
        } else if holds(self.cold.withheld(instance)) {
            Some(Exclusion::Cold)
        } else {
            None
        }
    }

    /// Returns which endpoints of a service get no request for now.
    pub(crate) fn exclusions(&self, service: &str, now: Instant) -> Exclusions {
        let mut exclusions = Exclusions::default();
        for endpoint in self.iter().filter(|endpoint| endpoint.service == service) {
            let instance = endpoint.instance.as_str();
            let limit = self.limits.rate(instance);
            let limit = limit.or_else(|| self.cold.rate(instance));
            exclusions.rate += limit.map_or(0.0, Rate::per_second);
            match self.exclusion(endpoint, now) {
                Some(Exclusion::Resting) => exclusions.resting += 1,
                Some(Exclusion::Limited) => {
                    exclusions.limited += 1;
                    exclusions.shared += usize::from(self.limits.shares(instance));
                }
                Some(Exclusion::Cold) => {
                    exclusions.cold += 1;
                    exclusions.shared += usize::from(self.cold.shares(instance));
                }
                Some(Exclusion::Leaving | Exclusion::Evacuated) | None => {}
            }
        }
        exclusions
    }

    /// Tells whether this entry shares the limit of an endpoint.
    pub(crate) fn shares_limit(&self, instance: &str) -> bool {
        self.limits.shares(instance)
    }

    /// Returns how many endpoints have a limit.
    pub(crate) fn limited(&self) -> usize {
        self.limits.limited()
    }

    /// Returns how many endpoints rest.
    pub(crate) fn resting(&self, now: Instant) -> usize {
        self.rests.active(now)
    }

    /// Returns until when an endpoint gets no request.
    pub(super) fn withheld(&self, instance: &str) -> Option<Withheld> {
        self.limits
            .withheld(instance)
            .max(self.rests.withheld(instance))
            .max(self.cold.withheld(instance))
    }

    /// Has the router withhold requests from an endpoint for as long as that has said.
    pub(super) fn withhold(&mut self, service: &str, id: &str, instance: &str) {
        let withheld = self.withheld(instance);
        if let Some(router) = self.routers.get_mut(service) {
            router.withhold(&name::Endpoint::new(id), withheld);
        }
    }
}
