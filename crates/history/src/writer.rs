//! The submission of edits to a store.

use std::time::Duration;

use cactusnotch_objects::Store;
use cactusnotch_settings::Edit;
use rand::Rng;

use crate::reader;
use crate::{
    Answer, Call, Compaction, Options, Replica, Reply, Step, Submission, Verdict, perform,
};

/// The maximum number of doublings of the delay between retries.
const DOUBLINGS: u32 = 6;

/// Submits edits to a store, and compacts the history at intervals.
#[derive(Debug, Clone)]
pub struct Writer<S> {
    store: S,
    replica: Replica,
    options: Options,
}

impl<S: Store> Writer<S> {
    /// Creates a writer that starts from the state of `replica`.
    #[must_use]
    pub const fn new(store: S, replica: Replica, options: Options) -> Self {
        Self {
            store,
            replica,
            options,
        }
    }

    /// Returns the writer's replica.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the writer's replica, for applying offers of peers.
    pub const fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Brings the writer's replica up to date, so that a new edit is based on
    /// the newest revision.
    ///
    /// # Errors
    ///
    /// Returns a [`reader::Error`] if a call got no answer or the entries can't
    /// be applied.
    pub fn sync(&mut self) -> Result<Answer, reader::Error> {
        reader::sync(&self.store, &mut self.replica)
    }

    /// Submits `edit`, blocking until its result is known or the attempts are
    /// exhausted. Submitting an edit again is harmless.
    pub fn submit(&mut self, edit: &Edit) -> Verdict {
        let mut submission = Submission::new(edit.clone(), &self.options);
        let mut step = submission.start(&self.replica);
        let mut repeated = 0;
        loop {
            let call = match step {
                Step::Call(call) => call,
                Step::Done(verdict) => {
                    self.compact_after(&verdict);
                    return verdict;
                }
            };
            let reply = perform(&self.store, &call);
            if matches!(reply, Reply::Lost { .. } | Reply::Failed { .. }) {
                self.pause(repeated);
                repeated += 1;
            }
            step = submission.step(&mut self.replica, reply);
        }
    }

    /// Renews the snapshot and deletes old entries if enough entries have
    /// accumulated. Returns false if a step failed.
    pub fn compact(&self) -> bool {
        let mut compaction = Compaction::new(&self.replica, &self.options);
        let mut call: Call = compaction.start();
        loop {
            match compaction.step(perform(&self.store, &call)) {
                Step::Call(next) => call = next,
                Step::Done(is_complete) => return is_complete,
            }
        }
    }

    fn compact_after(&self, verdict: &Verdict) {
        let Verdict::Accepted { revision } = verdict else {
            return;
        };
        // The floor is checked at intervals, not after each edit.
        if revision.0.is_multiple_of(self.options.compaction_interval) {
            self.compact();
        }
    }

    fn pause(&self, repeated: u32) {
        let longest = self.options.pause * 2_u32.pow(repeated.min(DOUBLINGS));
        let jitter = rand::rng().random_range(0.5..=1.0);
        let pause: Duration = longest.mul_f64(jitter);
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
}
