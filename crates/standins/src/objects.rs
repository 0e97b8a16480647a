//! The platform's object API, as `docs/PLATFORM.md` has it.

mod call;
mod fault;
mod store;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock;
use call::Shared;
pub use fault::{Anomaly, Calls, Loss, Outage};

use crate::sync::lock;
use crate::web::Server;

/// Where a platform listens and what it limits.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// The largest number of calls per second, or no limit.
    pub rate: Option<u32>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            rate: None,
        }
    }
}

/// A running object API. It stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts an empty object API.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(options: &Options) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::clone(&shared);
        let server = Server::start(options.address, move |request| {
            call::answer(Arc::clone(&handler), request)
        })?;
        let platform = Self { shared, server };
        platform.set_rate(options.rate);
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base address for `cactusnotch_objects::http::Options`.
    #[must_use]
    pub fn base(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.shared.state).faults.outage = outage;
        self.server.refuse(outage == Outage::Refuse);
        self.shared.changed.send_replace(());
    }

    /// Delays each call by `delay` before it is carried out.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).faults.delay = delay;
    }

    /// Loses the replies of the next `count` writes, after their effect.
    pub fn lose_replies(&self, count: usize, loss: Loss) {
        let replies = &mut lock(&self.shared.state).faults.lost;
        replies.extend(std::iter::repeat_n(loss, count));
    }

    /// Makes the next `count` watches with a version show `anomaly`.
    pub fn disturb_watches(&self, count: usize, anomaly: Anomaly) {
        let anomalies = &mut lock(&self.shared.state).faults.anomalies;
        anomalies.extend(std::iter::repeat_n(anomaly, count));
    }

    /// Limits the calls per second, or lifts the limit.
    pub fn set_rate(&self, per_second: Option<u32>) {
        let rate = per_second.map(|rate| fault::Rate::new(rate, clock::now()));
        lock(&self.shared.state).faults.rate = rate;
    }

    /// Returns the number of calls by method and kind since the start,
    /// refused ones included.
    #[must_use]
    pub fn calls(&self) -> Calls {
        lock(&self.shared.state).faults.calls.clone()
    }

    /// Returns how many calls the rate limit refused.
    #[must_use]
    pub fn limited(&self) -> u64 {
        lock(&self.shared.state).faults.limited
    }
}
