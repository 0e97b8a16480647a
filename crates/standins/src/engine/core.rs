//! What the step loop and the handlers share.

use std::sync::Mutex;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use tokio::sync::{Notify, watch};

use super::batch::{Batch, Entrant};
use super::order::Served;
use super::{Need, Options};
use crate::sync::lock;

/// The largest time that a step is stretched to.
const LONGEST_STEP: Duration = Duration::from_hours(1);

/// How the engine is to behave, changeable while it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    pub(crate) slowness: f64,
    pub(crate) frozen: bool,
}

/// The engine's state.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) batch: Mutex<Batch>,
    pub(crate) served: Mutex<Served>,
    pub(crate) pace: watch::Sender<Pace>,
    /// What the engine says of itself.
    pub(crate) need: Mutex<Need>,
    /// What is put before each token of a stream.
    pub(crate) spoilt: Mutex<Option<&'static str>>,
    /// When completions were asked for.
    pub(crate) calls: Mutex<Vec<Instant>>,
    arrived: Notify,
}

impl Core {
    pub(crate) fn new(options: &Options) -> Self {
        let pace = Pace {
            slowness: 1.0,
            frozen: false,
        };
        Self {
            options: options.clone(),
            batch: Mutex::new(Batch::new(options, clock::now())),
            served: Mutex::new(Served::new(options)),
            pace: watch::channel(pace).0,
            need: Mutex::default(),
            spoilt: Mutex::default(),
            calls: Mutex::default(),
            arrived: Notify::new(),
        }
    }

    /// Queues a request and returns the number of its run, or nothing if the
    /// queue is full.
    pub(crate) fn submit(&self, entrant: Entrant) -> Option<usize> {
        let run = lock(&self.batch).submit(entrant, clock::now());
        self.arrived.notify_one();
        run
    }

    /// Ends a run whose caller has gone.
    pub(crate) fn cancel(&self, run: usize) {
        lock(&self.batch).cancel(run, clock::now());
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn thawed(&self) {
        let mut pace = self.pace.subscribe();
        drop(pace.wait_for(|pace| !pace.frozen).await);
    }

    /// Takes steps for as long as the engine runs.
    pub(crate) async fn run(&self) {
        let mut due = clock::now();
        loop {
            self.thawed().await;
            if lock(&self.batch).is_idle() {
                self.arrived.notified().await;
                due = clock::now();
                continue;
            }
            let step = lock(&self.batch).begin(clock::now());
            due = (due + self.stretched(step)).max(clock::now());
            tokio::time::sleep(due.remaining()).await;
            self.thawed().await;
            lock(&self.batch).finish(clock::now());
        }
    }

    fn stretched(&self, step: Duration) -> Duration {
        let seconds = step.as_secs_f64() * self.pace.borrow().slowness;
        Duration::try_from_secs_f64(seconds).map_or(LONGEST_STEP, |step| step.min(LONGEST_STEP))
    }
}
