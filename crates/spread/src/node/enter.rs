//! How a process comes to serve.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_member::State;

use crate::node::Node;

/// How many calls in a row fail before the platform counts as down.
const FAILURES: u32 = 2;

/// How long the slowest peer is waited for while the platform is down.
const PATIENCE: Duration = Duration::from_secs(2);

impl Node {
    /// Notices at the start of each event that the process was out of touch:
    /// others may have gone on without it, so it enters anew.
    pub(super) fn notice(&mut self, now: Instant) {
        if self.entrance.open && self.out_of_touch(now) {
            self.reenter(now);
        }
    }

    pub(super) fn reenter(&mut self, now: Instant) {
        self.entrance.reset(now);
        self.registration.doubt();
    }

    /// Lets the process serve once it can prove the newest revision: read from
    /// the platform after its record was written, or, with the platform down,
    /// the newest of the peers that were asked and answered.
    pub(super) fn enter(&mut self, now: Instant) {
        if self.entrance.open || self.superseded {
            return;
        }
        if self.read_since_registered() || self.told_by_peers(now) {
            self.entrance.pass();
            if !self.leaving {
                self.registration.want(Some(State::Serving));
            }
        }
    }

    fn read_since_registered(&self) -> bool {
        let registered = self.registration.version();
        self.entrance.read.is_some() && self.entrance.read == registered
    }

    fn told_by_peers(&self, now: Instant) -> bool {
        let failures = self.calls.failures().max(self.registration.failures());
        let asked_for = now.saturating_duration_since(self.entrance.from);
        if failures < FAILURES || now < self.entrance.from || asked_for < PATIENCE {
            return false;
        }
        if self.roster().get(&self.record().process).is_none() {
            return false;
        }
        let answered = self.peers.values().filter(|peer| {
            let at = peer.answered;
            peer.caught_up && at.is_some_and(|at| at >= self.entrance.from)
        });
        let answered: Vec<_> = answered.collect();
        let enough = self.options.quorum.min(self.roster().len() - 1).max(1);
        let newest = answered.iter().map(|peer| peer.held).max();
        answered.len() >= enough
            && newest <= Some(self.log.held())
            && self.in_force <= self.log.held()
    }

    /// Notices what the roster says of this process itself.
    pub(super) fn notice_own_row(&mut self, now: Instant) {
        let roster = self.journal.roster();
        let row = roster.get(&self.registration.record().process);
        let known = row.map(|record| record.incarnation);
        let own = self.registration.record().incarnation;
        match known {
            Some(incarnation) if incarnation > own => {
                self.registration.exceed(incarnation);
                self.superseded |= self.registration.record().incarnation <= incarnation;
            }
            Some(incarnation) if incarnation == own => {
                self.registration.exceed(incarnation);
            }
            Some(_) => {}
            None => {
                let through = roster.through();
                let version = self.registration.version();
                if version.is_some_and(|version| version <= through) {
                    self.reenter(now);
                }
            }
        }
        self.follow_incarnation(now);
    }

    /// Notices a later life of this process's name in a rumour.
    pub(super) fn notice_later_life(&mut self, now: Instant) {
        let Some(later) = self.liveness.superseded_by() else {
            return;
        };
        self.registration.exceed(later);
        self.superseded |= self.registration.record().incarnation <= later;
        self.follow_incarnation(now);
    }

    /// Lets the liveness tell the incarnation that the record has.
    pub(super) fn follow_incarnation(&mut self, now: Instant) {
        let incarnation = self.registration.record().incarnation;
        if incarnation > self.liveness.life().incarnation {
            self.liveness.reborn(incarnation, now);
        }
    }
}
