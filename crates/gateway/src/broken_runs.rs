//! Broken runs whose endpoints may have crashed and started again.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::crash::BrokenRun;
use crate::quarantine::Accused;

/// How long after a run broke a later incarnation of its endpoint shows that the former one
/// crashed.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// How long before the crash of its endpoint a run may have broken that the crash broke.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// The most runs that are remembered: those of a few groups of ranks.
const RUNS_MAX: usize = 256;

/// A broken run whose endpoint accepted a connection afterwards.
#[derive(Debug)]
pub(crate) struct Unconfirmed {
    pub(crate) run: BrokenRun,
    pub(crate) accused: Accused,
    /// When the run broke.
    pub(crate) at: Instant,
}

/// The broken runs that may still prove to be crashes, oldest first.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns {
    runs: Vec<Unconfirmed>,
}

impl BrokenRuns {
    pub(crate) fn push(&mut self, run: Unconfirmed) {
        self.expire(run.at);
        if self.runs.len() >= RUNS_MAX {
            self.runs.remove(0);
        }
        self.runs.push(run);
    }

    /// Takes the runs that broke since a later incarnation has registered at `address` as
    /// `endpoint`.
    pub(crate) fn take_crashed(
        &mut self,
        address: SocketAddr,
        endpoint: &str,
        now: Instant,
    ) -> Vec<Unconfirmed> {
        self.expire(now);
        let crashed = self.runs.extract_if(.., |unconfirmed| {
            unconfirmed.run.address == address && unconfirmed.run.endpoint != endpoint
        });
        crashed.collect()
    }

    /// Drops the runs that broke well before `endpoint` crashed at `crashed`: it lived on, and only
    /// their connections or its group of ranks failed.
    pub(crate) fn drop_survived(&mut self, endpoint: &str, crashed: Instant) {
        self.runs.retain(|unconfirmed| {
            let before = crashed.saturating_duration_since(unconfirmed.at);
            unconfirmed.run.endpoint != endpoint || before < SAME_CRASH_TIME
        });
    }

    fn expire(&mut self, now: Instant) {
        self.runs
            .retain(|run| now.saturating_duration_since(run.at) < RESTART_TIME);
    }
}
