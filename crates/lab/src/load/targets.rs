//! Where requests are sent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_standins::engine::Load;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::Rng;
use rand::seq::IndexedRandom;

/// How one of several addresses is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Any of them.
    Random,
    /// One after another.
    RoundRobin,
    /// The one whose load report tells the least requests.
    LeastReported,
}

/// The addresses that requests are sent to.
#[derive(Debug)]
pub struct Targets {
    policy: Policy,
    addresses: Vec<SocketAddr>,
    next: AtomicUsize,
    reported: Mutex<Vec<usize>>,
}

impl Targets {
    /// Creates targets among `addresses`.
    #[must_use]
    pub fn new(policy: Policy, addresses: Vec<SocketAddr>) -> Self {
        Self {
            policy,
            next: AtomicUsize::new(0),
            reported: Mutex::new(vec![0; addresses.len()]),
            addresses,
        }
    }

    /// Chooses an address, one that was not `tried` if there is any.
    pub(crate) fn choose(&self, tried: &[SocketAddr], random: &mut impl Rng) -> Option<SocketAddr> {
        let left: Vec<usize> = (0..self.addresses.len())
            .filter(|at| !tried.contains(&self.addresses[*at]))
            .collect();
        let at = match self.policy {
            Policy::Random => left.choose(random).copied(),
            Policy::RoundRobin => {
                let next = self.next.fetch_add(1, Ordering::Relaxed);
                left.get(next % left.len().max(1)).copied()
            }
            Policy::LeastReported => self.least(&left, random),
        };
        at.map(|at| self.addresses[at])
    }

    fn least(&self, left: &[usize], random: &mut impl Rng) -> Option<usize> {
        let reported = self.reported();
        let least = left.iter().map(|at| reported[*at]).min()?;
        let equal: Vec<usize> = left
            .iter()
            .copied()
            .filter(|at| reported[*at] == least)
            .collect();
        equal.choose(random).copied()
    }

    /// Reads the engines' load reports again and again.
    pub async fn watch(self: Arc<Self>, interval: Duration) {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let mut ticks = tokio::time::interval(interval);
        loop {
            ticks.tick().await;
            for (at, address) in self.addresses.iter().enumerate() {
                let Ok(url) = format!("http://{address}/load").parse() else {
                    continue;
                };
                let Ok(response) = client.get(url).await else {
                    continue;
                };
                let Ok(body) = response.into_body().collect().await else {
                    continue;
                };
                if let Ok(load) = serde_json::from_slice::<Load>(&body.to_bytes()) {
                    self.reported()[at] = load.running + load.waiting;
                }
            }
        }
    }

    fn reported(&self) -> MutexGuard<'_, Vec<usize>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
