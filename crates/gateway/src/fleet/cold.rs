//! Endpoints that accept few requests per second because they started recently.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_throttle::Rate;

use super::Fleet;
use crate::configuration::{ColdStart, Service};
use crate::endpoint::Endpoint;
use crate::journal::millis;
use crate::peer::Load;

impl Fleet {
    /// Applies the operators' warm-up limits.
    pub(super) fn set_cold_starts(&mut self, services: &[Service], now: Instant) {
        let before = std::mem::take(&mut self.cold_starts);
        for service in services {
            if let Some(cold) = service.cold {
                self.cold_starts.insert(service.name.clone(), cold);
            }
        }
        // Endpoints that were registered before their service was configured start the full
        // remaining time now, which errs on the long side. For all others the limit started
        // with their registration.
        let is_new = |e: &&Endpoint| e.cold_ms > 0 && !before.contains(&e.service);
        let cold: Vec<_> = self.iter().filter(is_new).cloned().collect();
        for endpoint in cold {
            self.apply_cold_start(&endpoint, now);
        }
    }

    /// Applies the remaining warm-up time of an endpoint's registration.
    pub(super) fn apply_cold_start(&mut self, endpoint: &Endpoint, now: Instant) {
        if endpoint.cold_ms == 0 {
            self.end_cold_start(&endpoint.instance, "its registration");
            return;
        }
        let left = Duration::from_millis(endpoint.cold_ms.into());
        self.begin_cold_start(endpoint, left, "its registration", now);
    }

    /// Starts the warm-up limit if the agent of an endpoint reports a later incarnation than
    /// the registered one: the endpoint has just restarted, whatever its next registration
    /// says.
    pub(super) fn note_later_start(&mut self, endpoint: &Endpoint, load: &Load, now: Instant) {
        if load.born <= endpoint.born || self.is_warming_up(&endpoint.instance) {
            return;
        }
        if let Some(ColdStart { time, .. }) = self.cold_starts.get(&endpoint.service).copied() {
            self.begin_cold_start(endpoint, time, "its agent", now);
        }
    }

    /// Ends the warm-up of endpoints whose time is over.
    pub(super) fn expire_cold_starts(&mut self, now: Instant) {
        for instance in self.warmups.expire(now) {
            tracing::info!(endpoint = instance, source = "its time", "endpoint is warm");
            self.refresh_withheld(&instance);
        }
    }

    /// Returns the number of endpoints that are warming up.
    pub(crate) fn warming_up(&self) -> usize {
        self.warmups.len()
    }

    /// Returns whether an endpoint is warming up.
    pub(super) fn is_warming_up(&self, instance: &str) -> bool {
        self.warmups.rate(instance).is_some()
    }

    fn begin_cold_start(
        &mut self,
        endpoint: &Endpoint,
        left: Duration,
        source: &str,
        now: Instant,
    ) {
        let Some(ColdStart { rate, .. }) = self.cold_starts.get(&endpoint.service).copied() else {
            return;
        };
        let instance = endpoint.instance.as_str();
        if self.warmups.begin(instance, left, rate, now) {
            tracing::info!(
                endpoint = endpoint.id,
                rate = Rate::per_second(rate),
                ms = millis(left),
                source,
                shared = self.warmups.is_holder(instance),
                "endpoint is cold"
            );
            self.refresh_withheld(instance);
        }
    }

    fn end_cold_start(&mut self, instance: &str, source: &str) {
        if self.warmups.end(instance) {
            tracing::info!(endpoint = instance, source, "endpoint is warm");
            self.refresh_withheld(instance);
        }
    }
}
