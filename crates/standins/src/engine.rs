//! A model engine with continuous batching, as `docs/ENGINE.md` has it.

mod answer;
mod batch;
mod body;
mod cache;
mod call;
mod chat;
mod core;
mod load;
mod need;
mod order;
mod run;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Model;
use cactusnotch_order::Answer;
use cactusnotch_order::model::State;

pub use answer::answer;
pub use cache::{BLOCK, Change, Event, blocks};
pub use chat::{DEFAULT_MAX_TOKENS, Message, prompt};
pub use load::Load;
pub use need::Need;
pub use order::{Command, Fencing};
pub use run::{End, Run};

use self::core::Core;
use crate::sync::lock;
use crate::web;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// The largest number of requests in the batch.
    pub slots: usize,
    /// The largest number of requests that wait; more are refused.
    pub queue: usize,
    /// The time that each step takes.
    pub step: Duration,
    /// The time that each request in the batch adds to a step.
    pub step_per_request: Duration,
    /// The time that each prompt token adds which the cache does not hold.
    pub prefill_per_token: Duration,
    /// The largest number of prompt tokens read in one step.
    pub prefill_chunk: usize,
    /// The number of tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// The age of the state that a load report tells.
    pub load_lag: Duration,
    /// The age from which a cache event is told.
    pub event_lag: Duration,
    /// The probability that a cache event is lost.
    pub event_loss: f64,
    /// The time to load a version or an adapter.
    pub load_time: Duration,
    /// The versions and adapters that cannot be loaded.
    pub broken: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// The models that are loaded at the start, with the version of each,
    /// sorted.
    pub models: Vec<(Model, String)>,
    /// Whether a request for a model that is not loaded is refused.
    pub strict_models: bool,
    /// The seed of what is random: which cache events are lost.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            slots: 8,
            queue: 64,
            step: Duration::from_micros(4500),
            step_per_request: Duration::from_micros(50),
            prefill_per_token: Duration::from_micros(10),
            prefill_chunk: 512,
            cache_tokens: 4096,
            load_lag: Duration::from_millis(100),
            event_lag: Duration::from_millis(100),
            event_loss: 0.02,
            load_time: Duration::from_millis(20),
            broken: Vec::new(),
            fencing: Fencing::Checked,
            models: Vec::new(),
            strict_models: false,
            seed: 0,
        }
    }
}

/// A running engine. It stops when it is dropped.
#[derive(Debug)]
pub struct Engine {
    core: Arc<Core>,
    server: web::Server,
}

impl Engine {
    /// Starts an engine with an empty cache.
    ///
    /// # Errors
    ///
    /// The error of binding the address or of starting the threads.
    pub fn start(options: &Options) -> io::Result<Self> {
        let core = Arc::new(Core::new(options));
        let handler = Arc::clone(&core);
        let server = web::Server::start(options.address, move |request| {
            call::answer(Arc::clone(&handler), request)
        })?;
        let steps = Arc::clone(&core);
        server.spawn(async move { steps.run().await });
        Ok(Self { core, server })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stretches each step by `factor`, which makes the engine slow.
    pub fn slow(&self, factor: f64) {
        self.core.pace.send_modify(|pace| pace.slowness = factor);
    }

    /// Stops all steps and answers, and keeps the connections.
    pub fn freeze(&self) {
        self.core.pace.send_modify(|pace| pace.frozen = true);
    }

    /// Goes on after [`Engine::freeze`].
    pub fn thaw(&self) {
        self.core.pace.send_modify(|pace| pace.frozen = false);
    }

    /// Puts `bytes` before each further token of streams, or ends that.
    pub fn spoil(&self, bytes: Option<&'static str>) {
        *lock(&self.core.spoilt) = bytes;
    }

    /// Sets what the engine says of itself from now on.
    pub fn need(&self, need: Need) {
        *lock(&self.core.need) = need;
    }

    /// Returns when completions were asked for, refused ones included.
    #[must_use]
    pub fn calls(&self) -> Vec<Instant> {
        lock(&self.core.calls).clone()
    }

    /// Returns the load as it is, without the lag of the reports.
    #[must_use]
    pub fn load(&self) -> Load {
        lock(&self.core.batch).load()
    }

    /// Returns what the orders have left.
    #[must_use]
    pub fn served(&self) -> Answer<State> {
        lock(&self.core.served).read(clock::now())
    }

    /// Returns all runs, in the order in which they entered the queue.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.core.batch).log.runs().to_vec()
    }

    /// Returns how many runs with `key` have started.
    #[must_use]
    pub fn starts(&self, key: &str) -> usize {
        let batch = lock(&self.core.batch);
        let runs = batch.log.runs().iter();
        runs.filter(|run| run.started && run.key.as_ref().is_some_and(|own| own.as_str() == key))
            .count()
    }
}
