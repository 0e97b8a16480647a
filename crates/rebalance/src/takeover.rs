//! Releases a group whose leader has become unresponsive while the group was held.
//!
//! A leader announces that it is committed to a round before it holds the group. Any agent
//! that received the announcement may therefore complete the round: collect confirmations
//! from all ranks that they are responsive, have all ranks armed for the held pass, and
//! release the group once they are. Nothing else is ever completed on behalf of an
//! unresponsive leader.
//!
//! No rank is armed before rank 0 is, and a leader reverts a round only by having rank 0's
//! endpoint load another map. The state of that endpoint therefore decides for all.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::codec::Order;
use crate::message::{Phase, Round, Status};
use crate::state::{Maps, Place};

/// How long the group must be stalled before rank 1 takes over: a few passes, and far more
/// than an undisturbed round takes.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The additional time for each further rank, so that usually only one acts.
const STALL_TIMEOUT_PER_RANK: Duration = Duration::from_millis(100);

/// One rank's detection of a group that was left held, and the completion of its round.
#[derive(Debug, Default)]
pub struct Takeover {
    /// The last pass that was seen to begin, and when it was first seen.
    last_pass: Option<(u64, Instant)>,
    /// The version that all ranks are to be armed with.
    version: Option<u64>,
    /// The last pass that an order to release the group may still name.
    released: u64,
    /// The pass before which the group is held, as each rank has confirmed it.
    confirmed: Vec<Option<u64>>,
    armed: Vec<bool>,
}

impl Takeover {
    /// Evaluates the state of the own endpoint; returns whether this rank has to complete
    /// the round. It does if the group has been stalled within a round that its leader
    /// cannot abandon, and the leader has been unresponsive, both for long enough.
    pub fn observe(
        &mut self,
        place: &Place,
        round: Option<&Round>,
        maps: &Maps,
        unresponsive_for: Duration,
        now: Instant,
    ) -> bool {
        let since = match self.last_pass {
            Some((step, since)) if step == maps.step => since,
            _ => {
                self.last_pass = Some((maps.step, now));
                now
            }
        };
        let is_open = |round: &&Round| is_committed(round.phase) && maps.current < round.version;
        let round = round.filter(is_open);
        let version = round.map(|round| round.version);
        self.released = round.map_or(0, |round| round.released);
        if self.version != version {
            self.version = version;
            self.confirmed = vec![None; usize::from(place.size)];
            self.armed = vec![false; usize::from(place.size)];
        }
        let timeout =
            STALL_TIMEOUT + STALL_TIMEOUT_PER_RANK * u32::from(place.rank.saturating_sub(1));
        let stalled = now.saturating_duration_since(since).min(unresponsive_for);
        version.is_some() && place.rank > 0 && stalled >= timeout
    }

    /// Records the status of a rank.
    pub fn record(&mut self, status: &Status) {
        let rank = usize::from(status.place.rank);
        if let Some(known) = self.confirmed.get_mut(rank) {
            *known = status.met;
        }
        let armed = self.version.is_some() && status.maps.armed == self.version;
        if let Some(known) = self.armed.get_mut(rank) {
            *known = armed;
        }
    }

    /// Returns the round that all ranks must follow, from the state of the leader's
    /// endpoint; `None` if the group is not held there for the round.
    #[must_use]
    pub fn round(&self, round: &Round, leader: &Maps) -> Option<Round> {
        let step = self.own_hold(leader)?;
        let mut round = round.clone();
        round.phase = if leader.armed == self.version {
            Phase::Arm { step }
        } else {
            Phase::Meet { step }
        };
        round.moves.clear();
        Some(round)
    }

    /// Returns the pass before which the group is held for the round, from the state of the
    /// leader's endpoint. An order that the leader has sent may still release any other hold.
    fn own_hold(&self, leader: &Maps) -> Option<u64> {
        leader.held.filter(|&step| step > self.released)
    }

    /// Returns whether all ranks but the leader have confirmed that the group is held.
    fn all_confirmed(&self, step: u64) -> bool {
        self.confirmed.iter().skip(1).all(|&met| met == Some(step))
    }

    /// Returns the order that the leader's endpoint needs, from its state.
    #[must_use]
    pub fn order(&self, leader: &Maps) -> Option<Order> {
        let version = self.version?;
        let step = self.own_hold(leader).filter(|_| leader.current < version)?;
        if !self.all_confirmed(step) {
            return None;
        }
        if leader.armed != Some(version) {
            let loaded = leader.prepared == Some(version) && leader.armed.is_none();
            return loaded.then_some(Order::Arm { version, step });
        }
        let others = self.armed.iter().skip(1).all(|&armed| armed);
        others.then_some(Order::Go { step })
    }
}

/// Returns whether the leader cannot abandon the round in this phase.
const fn is_committed(phase: Phase) -> bool {
    matches!(
        phase,
        Phase::Commit | Phase::Meet { .. } | Phase::Arm { .. }
    )
}
