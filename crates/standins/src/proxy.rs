//! A TCP proxy that injects faults.
//!
//! Bytes of one connection and direction keep their order; what the proxy
//! does to them can be changed at any time and holds for the connections that
//! are open as well as for new ones.

mod connection;
mod control;
mod pump;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

pub use control::{Accept, Counts, Direction, Line};

use self::control::Shared;
use crate::runner::Runner;

/// Where a proxy listens and where it connects to.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// The address that connections are passed on to.
    pub target: SocketAddr,
    /// The seed of what is random. Each connection draws numbers of its own,
    /// by the seed and its place in the order of connections.
    pub seed: u64,
}

impl Options {
    /// Returns options for a proxy at a free port before `target`.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            target,
            seed: 0,
        }
    }
}

/// A running proxy. It stops and breaks off all connections when it is
/// dropped.
#[derive(Debug)]
pub struct Proxy {
    runner: Runner,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy that injects no faults yet.
    ///
    /// # Errors
    ///
    /// The error of binding the address or of setting up the runtime.
    pub fn start(options: &Options) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(options));
        let accepting = Arc::clone(&shared);
        let runner = Runner::start(options.address, |listener| {
            connection::accept(listener, accepting)
        })?;
        Ok(Self { runner, shared })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.runner.address()
    }

    /// Changes what happens to the bytes of one direction.
    pub fn set_line(&self, direction: Direction, line: Line) {
        let control = &self.shared.control;
        control.send_modify(|control| *control.line_mut(direction) = line);
    }

    /// Returns what happens to the bytes of one direction.
    #[must_use]
    pub fn line(&self, direction: Direction) -> Line {
        *self.shared.control.borrow().line(direction)
    }

    /// Delays each new connection by a time of its own below `spread`, which
    /// reorders messages between connections.
    pub fn set_spread(&self, spread: Duration) {
        let control = &self.shared.control;
        control.send_modify(|control| control.spread = spread);
    }

    /// Changes what happens to new connections.
    pub fn set_accept(&self, accept: Accept) {
        let control = &self.shared.control;
        control.send_modify(|control| control.accept = accept);
    }

    /// Passes new connections on to another address.
    pub fn set_target(&self, target: SocketAddr) {
        let control = &self.shared.control;
        control.send_modify(|control| control.target = target);
    }

    /// Holds all bytes back, of either direction, and keeps the connections.
    pub fn freeze(&self) {
        let control = &self.shared.control;
        control.send_modify(|control| control.frozen = true);
    }

    /// Lets the bytes go that [`Proxy::freeze`] held back.
    pub fn thaw(&self) {
        let control = &self.shared.control;
        control.send_modify(|control| control.frozen = false);
    }

    /// Breaks off all connections that are open.
    pub fn cut(&self) {
        let control = &self.shared.control;
        control.send_modify(|control| control.cuts += 1);
    }

    /// Returns how often each fault was injected.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}
