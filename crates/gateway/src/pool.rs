//! A pool of connections to endpoints.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;

use crate::channel::{self, Channel};
use crate::endpoint::Endpoint;

/// The timeout for connecting to an endpoint. A healthy endpoint in the same
/// region accepts within milliseconds, and TCP retransmits a lost SYN packet
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an idle connection is reused if the endpoint states no timeout.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// The fraction of the endpoint's stated idle timeout for which a connection is
/// reused. Later, the endpoint may be closing it.
const IDLE_FRACTION: f64 = 0.7;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    channel: Channel,
    until: Instant,
}

/// The connections to one endpoint.
#[derive(Debug, Default)]
struct Row {
    idle: Vec<Idle>,
    open: u32,
}

/// The connections of an entry, by endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    rows: Rc<RefCell<Table<String, Row>>>,
}

/// A connection in use, which counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    channel: Option<Channel>,
    endpoint: String,
    pool: Pool,
}

/// Why there is no connection.
#[derive(Debug)]
pub(crate) enum Error {
    /// The entry's part of the endpoint's connections is in use.
    Full,
    /// The connection could not be established.
    Connect(channel::Error),
}

/// Whether an idle connection may be used. The endpoint may close one without
/// notice, and a request that was written to it may or may not have been
/// received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Idle connections may be used.
    Allowed,
    /// Only a new connection may be used, which the endpoint is certain to
    /// read.
    Never,
}

/// Whether an endpoint keeps a connection open after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeepAlive {
    /// The endpoint closes the connection.
    Closed,
    /// The endpoint keeps it open and states no timeout.
    Open,
    /// The endpoint keeps it open for this time.
    For(Duration),
}

impl Pool {
    /// Takes a connection to `endpoint`, of which at most `max_open` are open.
    pub(crate) async fn take(
        &self,
        endpoint: &Endpoint,
        max_open: u32,
        reuse: Reuse,
        now: Instant,
    ) -> Result<Lease, Error> {
        let lease = |channel| Lease {
            channel: Some(channel),
            endpoint: endpoint.id.clone(),
            pool: self.clone(),
        };
        if let Some(channel) = self.reserve(endpoint, max_open, reuse, now)? {
            return Ok(lease(channel));
        }
        let reservation = Reservation {
            pool: self,
            endpoint: &endpoint.id,
        };
        let channel = Channel::open(endpoint.address, CONNECT_TIMEOUT)
            .await
            .map_err(Error::Connect)?;
        std::mem::forget(reservation);
        metrics::counter!(cactusnotch_telemetry::metric::GATEWAY_CONNECTIONS_OPENED).increment(1);
        Ok(lease(channel))
    }

    /// Takes an idle connection, or reserves a place for a new one.
    fn reserve(
        &self,
        endpoint: &Endpoint,
        max_open: u32,
        reuse: Reuse,
        now: Instant,
    ) -> Result<Option<Channel>, Error> {
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_or_insert_with(endpoint.id.clone(), Row::default);
        let before = row.idle.len();
        row.idle
            .retain(|idle| idle.until > now && idle.channel.is_ready());
        let dropped = u32::try_from(before - row.idle.len()).unwrap_or(u32::MAX);
        row.open = row.open.saturating_sub(dropped);
        if reuse == Reuse::Allowed
            && let Some(idle) = row.idle.pop()
        {
            return Ok(Some(idle.channel));
        }
        if row.open >= max_open.max(1) {
            if row.idle.is_empty() {
                return Err(Error::Full);
            }
            row.idle.remove(0);
            row.open -= 1;
        }
        row.open += 1;
        Ok(None)
    }

    /// Drops the idle connections of endpoints for which `keep` returns
    /// `false`, and expired ones.
    pub(crate) fn sweep(&self, now: Instant, keep: impl Fn(&str) -> bool) {
        self.rows.borrow_mut().retain(|id, row| {
            let before = row.idle.len();
            let known = keep(id);
            row.idle
                .retain(|idle| known && idle.until > now && !idle.channel.is_closed());
            let dropped = u32::try_from(before - row.idle.len()).unwrap_or(u32::MAX);
            row.open = row.open.saturating_sub(dropped);
            known || row.open > 0
        });
    }

    fn release(&self, endpoint: &str) {
        if let Some(row) = self.rows.borrow_mut().get_mut(endpoint) {
            row.open = row.open.saturating_sub(1);
        }
    }
}

/// The place of a connection that is being opened, which is released on
/// failure.
struct Reservation<'a> {
    pool: &'a Pool,
    endpoint: &'a str,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.pool.release(self.endpoint);
    }
}

impl Lease {
    /// Returns the connection.
    pub(crate) const fn channel(&mut self) -> Option<&mut Channel> {
        self.channel.as_mut()
    }

    /// Returns the connection to the pool after a complete response, to be
    /// reused within the endpoint's idle timeout.
    pub(crate) fn put_back(mut self, keep_alive: KeepAlive, now: Instant) {
        let idle = match keep_alive {
            KeepAlive::Closed => return,
            KeepAlive::Open => IDLE_TIME,
            KeepAlive::For(time) => time.mul_f64(IDLE_FRACTION).min(IDLE_TIME),
        };
        let pool = self.pool.clone();
        let mut rows = pool.rows.borrow_mut();
        let Some(row) = rows.get_mut(&self.endpoint) else {
            return;
        };
        if let Some(channel) = self.channel.take() {
            row.idle.push(Idle {
                channel,
                until: now + idle,
            });
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.channel.is_some() {
            self.pool.release(&self.endpoint);
        }
    }
}
