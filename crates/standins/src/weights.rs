//! A weight store whose rate all its callers share, as `docs/ENGINE.md` has it.

mod call;
mod pace;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use cactusnotch_derive::record;
use cactusnotch_placement::Cell;
use pace::Pace;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::sync::lock;
use crate::web::Server;

/// What a weight store holds and how fast it gives it away.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// The bytes of one expert's weights.
    pub size: usize,
    /// The bytes per second that all callers get together.
    pub rate: u64,
    /// The largest number of calls that are served or wait; more get `429`.
    pub queue: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            size: 16 << 10,
            rate: 8 << 20,
            queue: 32,
        }
    }
}

/// What a weight store has done.
#[record]
#[derive(Copy, Default)]
pub struct Counts {
    /// The calls that got weights.
    pub served: u64,
    /// The bytes of the weights served.
    pub bytes: u64,
    /// The calls that were refused because too many waited.
    pub refused: u64,
}

/// A running weight store. It stops when it is dropped.
#[derive(Debug)]
pub struct Weights {
    pace: Arc<Mutex<Pace>>,
    server: Server,
}

impl Weights {
    /// Starts a weight store that holds every expert.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(options: &Options) -> io::Result<Self> {
        let pace = Arc::new(Mutex::new(Pace::new(options)));
        let shared = Arc::clone(&pace);
        let server = Server::start(options.address, move |request| {
            call::answer(Arc::clone(&shared), request)
        })?;
        Ok(Self { pace, server })
    }

    /// Returns the address that the weight store listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the bytes per second for the calls to come.
    pub fn set_rate(&self, rate: u64) {
        lock(&self.pace).rate = rate;
    }

    /// Begins or ends an outage, in which connections are broken off.
    pub fn set_outage(&self, outage: bool) {
        self.server.refuse(outage);
    }

    /// Returns the number of calls that are served or wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        lock(&self.pace).waiting
    }

    /// Returns what the weight store has done so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.pace).counts
    }
}

/// Returns the weights of an expert, which a checker can compare.
#[must_use]
pub fn content(cell: Cell, size: usize) -> Vec<u8> {
    let seed = u64::from(cell.layer) << 16 | u64::from(cell.expert);
    let mut bytes = Vec::with_capacity(size + size_of::<u64>());
    let mut block = 0_u64;
    while bytes.len() < size {
        let hash = xxh3_64_with_seed(&block.to_le_bytes(), seed);
        bytes.extend_from_slice(&hash.to_le_bytes());
        block += 1;
    }
    bytes.truncate(size);
    bytes
}
