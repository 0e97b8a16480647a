//! The batch: which requests run, which wait, and what one step does.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::outcome::Key;
use tokio::sync::mpsc::UnboundedSender;

use super::Options;
use super::answer;
use super::cache::{self, Cache};
use super::load::Load;
use super::run::{End, Log};
use crate::past::Past;

/// One request as it enters the queue.
#[derive(Debug)]
pub(crate) struct Entrant {
    pub(crate) request: String,
    pub(crate) key: Option<Key>,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: usize,
    pub(crate) priority: i64,
    pub(crate) tokens: UnboundedSender<String>,
}

#[derive(Debug)]
struct Waiting {
    run: usize,
    entrant: Entrant,
}

#[derive(Debug)]
struct Running {
    run: usize,
    seed: u64,
    made: usize,
    max_tokens: usize,
    prefill: usize,
    tokens: UnboundedSender<String>,
}

/// The requests of an engine and what they leave behind.
#[derive(Debug)]
pub(crate) struct Batch {
    options: Options,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    pub(crate) cache: Cache,
    pub(crate) reports: Past<Load>,
    pub(crate) log: Log,
}

impl Batch {
    pub(crate) fn new(options: &Options, now: Instant) -> Self {
        let load = Load {
            slots: options.slots,
            ..Load::default()
        };
        Self {
            options: options.clone(),
            waiting: Vec::new(),
            running: Vec::new(),
            cache: Cache::new(options.cache_tokens, options.event_loss, options.seed),
            reports: Past::new(options.load_lag, load, now),
            log: Log::default(),
        }
    }

    /// Tells whether no request runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the load as it is.
    pub(crate) fn load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.options.slots,
            cache_tokens: self.cache.tokens(),
        }
    }

    /// Queues a request and returns the number of its run, or nothing if the
    /// queue is full.
    pub(crate) fn submit(&mut self, entrant: Entrant, now: Instant) -> Option<usize> {
        if self.waiting.len() >= self.options.queue {
            return None;
        }
        let run = self.log.open(&entrant.request, entrant.key.clone());
        let at = self
            .waiting
            .partition_point(|other| other.entrant.priority <= entrant.priority);
        self.waiting.insert(at, Waiting { run, entrant });
        self.record(now);
        Some(run)
    }

    /// Ends a run whose caller has gone.
    pub(crate) fn cancel(&mut self, run: usize, now: Instant) {
        self.waiting.retain(|other| other.run != run);
        self.running.retain(|other| other.run != run);
        self.log.close(run, End::Cancelled);
        self.record(now);
    }

    fn record(&mut self, now: Instant) {
        let load = self.load();
        self.reports.record(load, now);
    }

    /// Fills the free slots and returns how long the coming step takes.
    pub(crate) fn begin(&mut self, now: Instant) -> Duration {
        while self.running.len() < self.options.slots && !self.waiting.is_empty() {
            let first = self.waiting.remove(0);
            self.admit(first, now);
        }
        self.record(now);
        let prefill = self.prefill();
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.options.step + self.options.step_per_request * running + prefill
    }

    fn admit(&mut self, waiting: Waiting, now: Instant) {
        let Waiting { run, entrant } = waiting;
        let cached = self.cache.admit(&entrant.model, &entrant.prompt, now);
        self.log.start(run);
        self.running.push(Running {
            run,
            seed: answer::seed(&entrant.model, &entrant.prompt),
            made: 0,
            max_tokens: entrant.max_tokens,
            prefill: cache::count(&entrant.prompt).saturating_sub(cached),
            tokens: entrant.tokens,
        });
    }

    /// Takes one step's share of the prompts that are still to be read and
    /// returns the time it costs.
    fn prefill(&mut self) -> Duration {
        let mut left = self.options.prefill_chunk;
        for running in &mut self.running {
            let taken = running.prefill.min(left);
            running.prefill -= taken;
            left -= taken;
        }
        let taken = u32::try_from(self.options.prefill_chunk - left).unwrap_or(u32::MAX);
        self.options.prefill_per_token * taken
    }

    /// Gives a token to each running request whose prompt has been read.
    pub(crate) fn finish(&mut self, now: Instant) {
        let Self { running, log, .. } = self;
        running.retain_mut(|running| advance(running, log));
        self.record(now);
    }
}

/// Makes one token and tells whether the request goes on.
fn advance(running: &mut Running, log: &mut Log) -> bool {
    if running.prefill > 0 {
        return true;
    }
    if running.made < running.max_tokens {
        let token = answer::token(running.seed, running.made);
        running.made += 1;
        log.count(running.run);
        drop(running.tokens.send(token));
    }
    if running.made < running.max_tokens {
        return true;
    }
    log.close(running.run, End::Completed);
    false
}
