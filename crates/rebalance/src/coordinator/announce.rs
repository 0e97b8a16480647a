//! Selects the ranks that need a message.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::{Coordinator, Row};
use crate::message::{Phase, Progress, Round, Status};

/// How long ranks may take to acknowledge a map that is to be loaded, and the most ranks
/// that get it again at once. With relays all of 256 ranks can receive it within 0.15 s;
/// sent again sooner, by rank 0 to most of them, it kept rank 0's link busy for 0.7 s.
const RESEND_MOVES_AFTER: Duration = Duration::from_millis(200);
const RESEND_MOVES_MAX: usize = 8;
/// The greatest age of the last report of a rank that may relay messages: two of its
/// reports may be lost.
const REACHABLE_FOR: Duration = Duration::from_millis(900);

impl Coordinator {
    /// Returns whether a rank needs the round again: its status shows that it has not
    /// received it, or that it follows another leader.
    #[must_use]
    pub fn needs_round(&self, status: &Status) -> bool {
        let Round { version, phase, .. } = self.round;
        let follows = match phase {
            Phase::Rest | Phase::Commit | Phase::Meet { .. } => true,
            Phase::Prepare | Phase::Arm { .. } => status.maps.current >= version,
        };
        let is_acknowledged = status.heard == Some(Progress { version, phase });
        !self.is_followed_by(status) || !(follows || is_acknowledged)
    }

    /// Returns whether a rank follows this leader.
    #[must_use]
    pub fn is_followed_by(&self, status: &Status) -> bool {
        status.term == Some(self.round.term)
    }

    /// Returns the ranks that need the round again because they have not acknowledged it in
    /// time.
    pub fn resend_targets(&mut self, now: Instant) -> Vec<u16> {
        let Round { version, phase, .. } = self.round;
        let round = Progress { version, phase };
        let announced = self.announced.filter(|(announced, _)| *announced == round);
        let (_, at) = *self.announced.insert(announced.unwrap_or((round, now)));
        // Moves make the datagram long, and only a few ranks can get it again at once.
        let (wait, most) = if phase == Phase::Prepare {
            (RESEND_MOVES_AFTER, RESEND_MOVES_MAX)
        } else {
            (self.arming.confirm_timeout(), usize::MAX)
        };
        if now.saturating_duration_since(at) < wait {
            return Vec::new();
        }
        self.announced = Some((round, now));
        let rows = (0_u16..).zip(&self.rows).skip(1);
        let lacks = |row: &Option<Row>| {
            row.as_ref()
                .is_some_and(|row| self.needs_round(&row.status))
        };
        rows.filter(|(_, row)| lacks(row))
            .map(|(rank, _)| rank)
            .take(most)
            .collect()
    }

    /// Returns the ranks that lack the whole map in force, if this rank has it.
    #[must_use]
    pub fn ranks_without_map(&self) -> Vec<u16> {
        let Some((version, _)) = &self.map else {
            return Vec::new();
        };
        let lacks =
            |status: &Status| status.maps.current == *version && status.known != Some(*version);
        let rows = (0_u16..).zip(&self.rows).skip(1);
        rows.filter(|(_, row)| row.as_ref().is_some_and(|row| lacks(&row.status)))
            .map(|(rank, _)| rank)
            .collect()
    }

    /// Returns whether a rank has reported recently.
    #[must_use]
    pub fn is_reachable(&self, rank: u16, now: Instant) -> bool {
        let row = self.rows.get(usize::from(rank)).and_then(Option::as_ref);
        row.is_some_and(|row| now.saturating_duration_since(row.at) < REACHABLE_FOR)
    }
}
