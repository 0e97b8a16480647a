//! Lets a group go on whose leader has fallen silent while it was held.
//!
//! A leader says that it is committed to a round before it holds the group. Any agent
//! that was told may therefore complete what it began: hear from all ranks that they are
//! there, have all armed for the pass that is held, and let the group go once all are.
//! Nothing else is ever completed for a silent leader.
//!
//! No rank is armed before rank 0 is, and a leader turns back only by having rank 0's
//! endpoint load another map: what that endpoint has decides for all.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::codec::Order;
use crate::message::{Phase, Round, Standing};
use crate::state::{Maps, Place};

/// How long the group stands still before rank 1 takes over: a few passes, and
/// far more than a round that goes well takes.
const STILL: Duration = Duration::from_millis(400);
/// How much longer each further rank waits, so that as a rule one acts.
const STILL_STEP: Duration = Duration::from_millis(100);

/// One rank's watch over a group that may be left held.
#[derive(Debug, Default)]
pub struct Rescue {
    /// The pass that was last seen begun, and since when.
    still: Option<(u64, Instant)>,
    /// The version that all are to be armed with.
    version: Option<u64>,
    /// The pass before which each rank has heard that the group is held.
    met: Vec<Option<u64>>,
    armed: Vec<bool>,
}

impl Rescue {
    /// Takes a look at the own endpoint; returns whether the group has stood
    /// still within a round that its leader will not give up, and the leader
    /// has been silent, for so long that this rank completes the round.
    pub fn look(
        &mut self,
        place: &Place,
        round: Option<&Round>,
        maps: &Maps,
        silence: Duration,
        now: Instant,
    ) -> bool {
        let since = match self.still {
            Some((step, since)) if step == maps.step => since,
            _ => {
                self.still = Some((maps.step, now));
                now
            }
        };
        let open = |round: &&Round| is_committed(round.phase) && maps.current < round.version;
        let version = round.filter(open).map(|round| round.version);
        if self.version != version {
            self.version = version;
            self.met = vec![None; usize::from(place.size)];
            self.armed = vec![false; usize::from(place.size)];
        }
        let patience = STILL + STILL_STEP * u32::from(place.rank.saturating_sub(1));
        let still = now.saturating_duration_since(since).min(silence);
        version.is_some() && place.rank > 0 && still >= patience
    }

    /// Takes a rank's word.
    pub fn hear(&mut self, standing: &Standing) {
        let rank = usize::from(standing.place.rank);
        if let Some(known) = self.met.get_mut(rank) {
            *known = standing.met;
        }
        let armed = self.version.is_some() && standing.maps.armed == self.version;
        if let Some(known) = self.armed.get_mut(rank) {
            *known = armed;
        }
    }

    /// Returns the round as all ranks have to know it, from the state of the
    /// leader's endpoint; `None` if the group isn't held there.
    #[must_use]
    pub fn round(&self, round: &Round, leader: &Maps) -> Option<Round> {
        let step = leader.held?;
        let mut round = round.clone();
        round.phase = if leader.armed == self.version {
            Phase::Arm { step }
        } else {
            Phase::Meet { step }
        };
        round.moves.clear();
        Some(round)
    }

    /// Tells whether all ranks but the leader have heard that the group is held.
    fn all_met(&self, step: u64) -> bool {
        self.met.iter().skip(1).all(|&met| met == Some(step))
    }

    /// Returns the order that the leader's endpoint needs, from its state.
    #[must_use]
    pub fn order(&self, leader: &Maps) -> Option<Order> {
        let version = self.version?;
        let step = leader.held.filter(|_| leader.current < version)?;
        if !self.all_met(step) {
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

/// Tells whether the leader will not give the round up any more.
const fn is_committed(phase: Phase) -> bool {
    matches!(
        phase,
        Phase::Commit | Phase::Meet { .. } | Phase::Arm { .. }
    )
}
