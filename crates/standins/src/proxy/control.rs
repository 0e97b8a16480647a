//! What a proxy does to connections, and the counts of what it did.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use cactusnotch_derive::record;
use tokio::sync::watch;

use super::Options;
use crate::sync::lock;

/// A direction of a connection.
#[record]
#[derive(Copy)]
pub enum Direction {
    /// From the one who connected to the target.
    Up,
    /// From the target to the one who connected.
    Down,
}

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Line {
    /// The time by which all bytes are delayed.
    pub delay: Duration,
    /// The largest time by which bytes are delayed in addition, drawn anew
    /// for each chunk.
    pub jitter: Duration,
    /// The probability that a chunk breaks off its connection.
    pub drop: f64,
    /// The number of bytes after which each connection is broken off.
    pub cut_at: Option<u64>,
    /// Whether bytes, and the end of a stream, are swallowed. A connection
    /// that lost bytes stays so.
    pub half_open: bool,
}

/// What happens to new connections.
#[record]
#[derive(Copy, Default)]
pub enum Accept {
    /// They are passed on.
    #[default]
    Open,
    /// They are left in the queue of the operating system.
    Ignore,
    /// They are broken off at once.
    Refuse,
}

/// How often each fault was injected.
#[record]
#[derive(Copy, Default)]
pub struct Counts {
    /// The connections passed on.
    pub accepted: u64,
    /// The connections that were refused, by order or because the target was.
    pub refused: u64,
    /// The chunks that were delayed.
    pub delayed: u64,
    /// The connections that a chunk broke off by chance.
    pub dropped: u64,
    /// The connections that were cut at a byte.
    pub cut_at: u64,
    /// The connections that [`super::Proxy::cut`] broke off.
    pub cut: u64,
    /// The bytes that were swallowed.
    pub swallowed: u64,
    /// The chunks that were held back by a freeze.
    pub frozen: u64,
}

/// What a proxy has been told.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    up: Line,
    down: Line,
    pub(crate) spread: Duration,
    pub(crate) accept: Accept,
    pub(crate) target: SocketAddr,
    pub(crate) frozen: bool,
    /// How often all connections have been cut.
    pub(crate) cuts: u64,
}

impl Control {
    pub(crate) const fn line(&self, direction: Direction) -> &Line {
        match direction {
            Direction::Up => &self.up,
            Direction::Down => &self.down,
        }
    }

    pub(crate) const fn line_mut(&mut self, direction: Direction) -> &mut Line {
        match direction {
            Direction::Up => &mut self.up,
            Direction::Down => &mut self.down,
        }
    }
}

/// What all connections of a proxy share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) control: watch::Sender<Control>,
    pub(crate) seed: u64,
    counts: Mutex<Counts>,
}

impl Shared {
    pub(crate) fn new(options: &Options) -> Self {
        let control = Control {
            up: Line::default(),
            down: Line::default(),
            spread: Duration::ZERO,
            accept: Accept::Open,
            target: options.target,
            frozen: false,
            cuts: 0,
        };
        Self {
            control: watch::channel(control).0,
            seed: options.seed,
            counts: Mutex::default(),
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut Counts)) {
        count(&mut lock(&self.counts));
    }
}
