//! The transition of a process from joining to serving.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_member::State;

use crate::node::Node;

/// The number of consecutive failed calls after which the platform counts as
/// down.
const OUTAGE_FAILURES: u32 = 2;

/// How long to wait for the answers of peers while the platform is down; it
/// covers the slowest of them.
const PEER_ANSWER_TIME: Duration = Duration::from_secs(2);

impl Node {
    /// Restarts the join at the start of an event if the process was isolated,
    /// since other processes may have applied newer revisions meanwhile.
    pub(super) fn check_isolation(&mut self, now: Instant) {
        if self.join.complete && self.is_isolated(now) {
            self.rejoin(now);
        }
    }

    pub(super) fn rejoin(&mut self, now: Instant) {
        self.join.reset(now);
        self.registration.invalidate();
    }

    /// Completes the join once the process holds the newest revision: either it
    /// has read the platform after its record was written or, while the platform
    /// is down, it holds the newest revision of the peers that answered.
    pub(super) fn try_join(&mut self, now: Instant) {
        if self.join.complete || self.superseded {
            return;
        }
        if self.read_since_registered() || self.confirmed_by_peers(now) {
            self.join.finish();
            if !self.leaving {
                self.registration.set_target(Some(State::Serving));
            }
        }
    }

    fn read_since_registered(&self) -> bool {
        let registered = self.registration.version();
        self.join.read.is_some() && self.join.read == registered
    }

    fn confirmed_by_peers(&self, now: Instant) -> bool {
        let failures = self.calls.failures().max(self.registration.failures());
        let waited = now.saturating_duration_since(self.join.from);
        if failures < OUTAGE_FAILURES || now < self.join.from || waited < PEER_ANSWER_TIME {
            return false;
        }
        if self.roster().get(&self.record().process).is_none() {
            return false;
        }
        let answered = self.peers.values().filter(|peer| {
            let at = peer.answered;
            peer.caught_up && at.is_some_and(|at| at >= self.join.from)
        });
        let answered: Vec<_> = answered.collect();
        let enough = self.options.quorum.min(self.roster().len() - 1).max(1);
        let newest = answered.iter().map(|peer| peer.held).max();
        answered.len() >= enough
            && newest <= Some(self.log.held())
            && self.in_force <= self.log.held()
    }

    /// Checks the roster's row of this process itself.
    pub(super) fn check_own_row(&mut self, now: Instant) {
        let roster = self.journal.roster();
        let row = roster.get(&self.registration.record().process);
        let known = row.map(|record| record.incarnation);
        let own = self.registration.record().incarnation;
        match known {
            Some(incarnation) if incarnation > own => {
                self.registration.raise_above(incarnation);
                self.superseded |= self.registration.record().incarnation <= incarnation;
            }
            Some(incarnation) if incarnation == own => {
                self.registration.raise_above(incarnation);
            }
            Some(_) => {}
            None => {
                let through = roster.through();
                let version = self.registration.version();
                if version.is_some_and(|version| version <= through) {
                    self.rejoin(now);
                }
            }
        }
        self.sync_incarnation(now);
    }

    /// Checks for a later incarnation of this process's name in rumours.
    pub(super) fn check_later_incarnation(&mut self, now: Instant) {
        let Some(later) = self.liveness.later_incarnation() else {
            return;
        };
        self.registration.raise_above(later);
        self.superseded |= self.registration.record().incarnation <= later;
        self.sync_incarnation(now);
    }

    /// Updates the incarnation that rumours announce from the record.
    pub(super) fn sync_incarnation(&mut self, now: Instant) {
        let incarnation = self.registration.record().incarnation;
        if incarnation > self.liveness.instance().incarnation {
            self.liveness.set_incarnation(incarnation, now);
        }
    }
}
