//! Holds the group, and releases it if a rank is out of reach.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::arming::PASSES_AHEAD_MAX;
use super::{Coordinator, Event, Row, Stage};
use crate::codec::Order;
use crate::message::Phase;
use crate::state::Maps;

/// The time after which another rank is asked to hold the group. A message and an order to
/// another host of the region take one to five milliseconds.
const HOLD_REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// The interval at which the rank that has held the group is notified of the hold until it
/// confirms that it is responsive.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(30);

impl Coordinator {
    /// Returns the rank that is to hold the group at this rank's endpoint, and before which
    /// pass, if that is due. All ranks have loaded the map then.
    pub fn hold_request(&mut self, own: &Maps, now: Instant) -> Option<(u16, u64)> {
        let Stage::Hold { requested } = self.stage else {
            return None;
        };
        let others = u64::from(self.place.size).checked_sub(1);
        let others = others.filter(|&others| others > 0)?;
        let recent = |at| now.saturating_duration_since(at) < HOLD_REQUEST_TIMEOUT;
        if !self.lacks_hold(own) || requested.is_some_and(recent) {
            return None;
        }
        let step = self.hold_step(own, now)?;
        self.stage = Stage::Hold {
            requested: Some(now),
        };
        if requested.is_none() {
            self.holders.clear();
        } else {
            // Another rank, since the one that was asked may be out of reach.
            self.holder_offset = self.holder_offset.wrapping_add(1);
        }
        let rank = 1 + u16::try_from(u64::from(self.holder_offset) % others).unwrap_or(0);
        self.holders.push(rank);
        Some((rank, step))
    }

    /// Excludes all passes that a former coordinator can have named. Each names passes at most
    /// [`PASSES_AHEAD_MAX`] ahead, so those that it named before this one began are at most as
    /// far ahead of the pass that this one sees first. Before the first pass none is named.
    pub(super) fn exclude_former_holds(&mut self, own: &Maps) {
        if !std::mem::replace(&mut self.started, true) && own.step > 0 {
            self.round.released = own.step + PASSES_AHEAD_MAX;
        }
    }

    /// Returns whether a hold before the pass is one of this round: no order to release it has
    /// been sent.
    pub(super) const fn is_own_hold(&self, step: u64) -> bool {
        step > self.round.released
    }

    /// Returns whether the group has yet to be held for the round. Once this rank is armed,
    /// another rank has completed the round.
    pub(super) const fn lacks_hold(&self, own: &Maps) -> bool {
        own.held.is_none() && own.armed.is_none() && own.current < self.round.version
    }

    /// Returns the pass before which the group is to be held: one that no order to release the
    /// group can name. `None` if the group has to make passes first.
    pub(super) fn hold_step(&self, own: &Maps, now: Instant) -> Option<u64> {
        let due = own.step + self.arming.passes_ahead(now);
        let step = due.max(self.round.released + 1);
        (own.step > 0 && step <= own.step + PASSES_AHEAD_MAX).then_some(step)
    }

    /// Returns the ranks to notify of the hold, if that is due: the agent of one of them
    /// has given the order, and they must confirm that they are still responsive.
    pub fn confirmation_targets(&mut self, now: Instant) -> &[u16] {
        let Stage::Confirm {
            step,
            since,
            announced,
        } = self.stage
        else {
            return &[];
        };
        let recent = |at| now.saturating_duration_since(at) < CONFIRM_INTERVAL;
        if announced.is_some_and(recent) {
            return &[];
        }
        self.stage = Stage::Confirm {
            step,
            since,
            announced: Some(now),
        };
        &self.holders
    }

    /// Advances a round whose group is held: to arming if the rank that has held it
    /// confirms, or to the end of the round if it does not.
    ///
    /// The state of rank 0's endpoint decides for all, whichever agent acts: no other rank
    /// is armed before rank 0 is, and the round is reverted only by having rank 0's
    /// endpoint load another map, after which it cannot be armed with this one.
    pub(super) fn confirm_hold(&mut self, own: &Maps, now: Instant) -> Option<Event> {
        let version = self.round.version;
        match self.stage {
            // Another agent has armed this rank, and may have armed all others and released the
            // group, which another hold may stall again.
            Stage::Hold { .. } if own.armed == Some(version) => {
                self.stage = Stage::ArmOthers;
                if let Some(step) = own.held.filter(|&step| self.is_own_hold(step)) {
                    self.round.phase = Phase::Arm { step };
                }
                None
            }
            Stage::Confirm { step, .. } | Stage::Revert { step } | Stage::ArmLeader { step }
                if own.armed == Some(version) =>
            {
                self.stage = Stage::ArmOthers;
                self.round.phase = Phase::Arm { step };
                None
            }
            Stage::Confirm { step, .. } if self.is_confirmed(step) => {
                self.stage = Stage::ArmLeader { step };
                None
            }
            Stage::Confirm { step, since, .. } => {
                let late = now.saturating_duration_since(since) > self.arming.confirm_timeout();
                late.then(|| {
                    self.arming.abandon();
                    self.holder_offset = self.holder_offset.wrapping_add(1);
                    self.released_at = Some(now);
                    self.stage = Stage::Revert { step };
                    Event::Released(step)
                })
            }
            Stage::Revert { step } | Stage::ArmLeader { step }
                if own.prepared != Some(version) || own.held != Some(step) =>
            {
                self.stage = Stage::Release { armed: false };
                self.round.version = reverted(version);
                self.round.phase = Phase::Rest;
                None
            }
            _ => None,
        }
    }

    /// Returns whether all ranks have reported since the group was released because one was
    /// out of reach. Until then a round would be loaded in vain.
    pub(super) fn all_reachable_again(&self) -> bool {
        let has_reported = |row: &Row| self.released_at.is_none_or(|at| row.at > at);
        self.rows.iter().flatten().all(has_reported)
    }

    /// Returns whether the ranks that were asked to hold the group before the pass have
    /// confirmed, after the hold was seen, that they are responsive. A host that freezes
    /// right after its order could not be armed.
    fn is_confirmed(&self, step: u64) -> bool {
        let confirmed = |row: &Row| row.status.met == Some(step);
        let row = |&rank: &u16| self.rows.get(usize::from(rank))?.as_ref();
        let mut requested = self.holders.iter();
        requested.all(|rank| row(rank).is_some_and(confirmed))
    }

    /// Returns the order by which this rank's endpoint decides whether the round goes on:
    /// to be armed, or to load the map in force again in place of the round's map.
    pub(super) fn arm_or_revert(&self, own: &Maps, step: u64) -> Option<Order> {
        let version = self.round.version;
        if own.armed.is_some() {
            return None;
        }
        if matches!(self.stage, Stage::ArmLeader { .. }) {
            return Some(Order::Arm { version, step });
        }
        let (_, map) = self.map.as_ref()?;
        Some(Order::Prepare {
            version: reverted(version),
            map: map.clone(),
        })
    }
}

/// Returns the version under which rank 0 loads the map in force again, after which it
/// cannot be armed with `version`. No other map gets that version.
const fn reverted(version: u64) -> u64 {
    version + 1
}
