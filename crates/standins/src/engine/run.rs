//! The log of runs, which tells tests how often a request ran.

use cactusnotch_base::outcome::Key;
use cactusnotch_derive::record;

/// How far a run has come.
#[record]
#[derive(Copy)]
pub enum End {
    /// It waits for a slot or runs.
    Open,
    /// It made all its tokens.
    Completed,
    /// Its caller went away first.
    Cancelled,
}

/// One run of a request.
#[record]
pub struct Run {
    /// The header `request-id`.
    pub request: String,
    /// The header `idempotency-key`.
    pub key: Option<Key>,
    /// Whether it ever left the queue.
    pub started: bool,
    /// The number of tokens made.
    pub tokens: usize,
    /// How it ended.
    pub end: End,
}

/// All runs, in the order in which they entered the queue.
#[derive(Debug, Default)]
pub(crate) struct Log {
    runs: Vec<Run>,
}

impl Log {
    pub(crate) fn runs(&self) -> &[Run] {
        &self.runs
    }

    pub(crate) fn open(&mut self, request: &str, key: Option<Key>) -> usize {
        self.runs.push(Run {
            request: request.to_owned(),
            key,
            started: false,
            tokens: 0,
            end: End::Open,
        });
        self.runs.len() - 1
    }

    pub(crate) fn start(&mut self, run: usize) {
        self.runs[run].started = true;
    }

    pub(crate) fn count(&mut self, run: usize) {
        self.runs[run].tokens += 1;
    }

    /// Closes a run, unless it is closed.
    pub(crate) fn close(&mut self, run: usize, end: End) {
        if self.runs[run].end == End::Open {
            self.runs[run].end = end;
        }
    }
}
