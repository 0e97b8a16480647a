//! Endpoints that take few requests a second since they have started lately.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_throttle::Rate;

use super::Fleet;
use crate::configuration::{ColdStart, Service};
use crate::endpoint::Endpoint;
use crate::journal::millis;
use crate::peer::Load;

impl Fleet {
    /// Takes what the operators state of endpoints that start.
    pub(super) fn set_cold_starts(&mut self, services: &[Service], now: Instant) {
        let before = std::mem::take(&mut self.cold_starts);
        for service in services {
            if let Some(cold) = service.cold {
                self.cold_starts.insert(service.name.clone(), cold);
            }
        }
        // Endpoints that were known before their service stay cold for longer rather than for
        // less; what others registered counted when they did.
        let is_new = |e: &&Endpoint| e.cold_ms > 0 && !before.contains(&e.service);
        let cold: Vec<_> = self.iter().filter(is_new).cloned().collect();
        for endpoint in cold {
            self.apply_cold_start(&endpoint, now);
        }
    }

    /// Takes how long an endpoint stays cold, as it has registered itself.
    pub(super) fn apply_cold_start(&mut self, endpoint: &Endpoint, now: Instant) {
        if endpoint.cold_ms == 0 {
            self.end_cold_start(&endpoint.instance, "its registration", now);
            return;
        }
        let left = Duration::from_millis(endpoint.cold_ms.into());
        self.begin_cold_start(endpoint, left, "its registration", now);
    }

    /// Takes that the agent of an endpoint tells of a later life than the one that is known:
    /// it has just started, whatever its registration will say.
    pub(super) fn note_later_start(&mut self, endpoint: &Endpoint, load: &Load, now: Instant) {
        if load.born <= endpoint.born || self.is_cold(&endpoint.instance) {
            return;
        }
        if let Some(ColdStart { time, .. }) = self.cold_starts.get(&endpoint.service).copied() {
            self.begin_cold_start(endpoint, time, "its agent", now);
        }
    }

    /// Ends the coldness of endpoints whose time is over.
    pub(super) fn expire_cold_starts(&mut self, now: Instant) {
        for instance in self.cold.expire(now) {
            tracing::info!(endpoint = instance, source = "its time", "endpoint is warm");
            self.refresh_withheld(&instance);
        }
    }

    /// Returns how many endpoints are cold.
    pub(crate) fn cold(&self) -> usize {
        self.cold.len()
    }

    /// Tells whether an endpoint is cold.
    pub(super) fn is_cold(&self, instance: &str) -> bool {
        self.cold.rate(instance).is_some()
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
        if self.cold.begin(instance, left, rate, now) {
            tracing::info!(
                endpoint = endpoint.id,
                rate = Rate::per_second(rate),
                ms = millis(left),
                source,
                shared = self.cold.shares(instance),
                "endpoint is cold"
            );
            self.refresh_withheld(instance);
        }
    }

    fn end_cold_start(&mut self, instance: &str, source: &str, now: Instant) {
        if self.cold.end(instance, now) {
            tracing::info!(endpoint = instance, source, "endpoint is warm");
            self.refresh_withheld(instance);
        }
    }
}
