//! Which ranks have to be told what.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::{Coordinator, Row};
use crate::message::{Heard, Phase, Round, Standing};

/// How long ranks may take to say that they have heard of a map that is to be loaded, and
/// the most that are told again at once. With relays all of 256 ranks can have heard within
/// 0.15 s; told again sooner, by rank 0 to most of them, its link was busy for 0.7 s.
const RETELL_MOVES: Duration = Duration::from_millis(200);
const RETELL_MOVES_MAX: usize = 8;
/// How long ago a rank was heard at most that relays what this one says: two of its words
/// may be lost.
const LATELY: Duration = Duration::from_millis(900);

impl Coordinator {
    /// Tells whether a rank has to be told the round again, since its word shows that it
    /// hasn't heard of it, or hears another leader.
    #[must_use]
    pub fn lacks(&self, standing: &Standing) -> bool {
        let Round { version, phase, .. } = self.round;
        let follows = match phase {
            Phase::Rest | Phase::Commit | Phase::Meet { .. } => true,
            Phase::Prepare | Phase::Arm { .. } => standing.maps.current >= version,
        };
        let heard = standing.heard == Some(Heard { version, phase });
        !self.is_heard_by(standing) || !(follows || heard)
    }

    /// Tells whether a rank hears this leader.
    #[must_use]
    pub fn is_heard_by(&self, standing: &Standing) -> bool {
        standing.term == Some(self.round.term)
    }

    /// Returns the ranks that have to be told the round again, since they had the time to
    /// say that they have heard of it and didn't.
    pub fn retell(&mut self, now: Instant) -> Vec<u16> {
        let Round { version, phase, .. } = self.round;
        let round = Heard { version, phase };
        let told = self.told.filter(|(told, _)| *told == round);
        let (_, at) = *self.told.insert(told.unwrap_or((round, now)));
        // Moves make a long datagram, so that few can be told them again at once.
        let (patience, most) = if phase == Phase::Prepare {
            (RETELL_MOVES, RETELL_MOVES_MAX)
        } else {
            (self.arming.meeting(), usize::MAX)
        };
        if now.saturating_duration_since(at) < patience {
            return Vec::new();
        }
        self.told = Some((round, now));
        let rows = (0_u16..).zip(&self.rows).skip(1);
        let lacks = |row: &Option<Row>| row.as_ref().is_some_and(|row| self.lacks(&row.standing));
        rows.filter(|(_, row)| lacks(row))
            .map(|(rank, _)| rank)
            .take(most)
            .collect()
    }

    /// Returns the ranks that lack the whole map in force, which this one knows.
    #[must_use]
    pub fn lacking(&self) -> Vec<u16> {
        let Some((version, _)) = &self.map else {
            return Vec::new();
        };
        let lacks = |standing: &Standing| {
            standing.maps.current == *version && standing.known != Some(*version)
        };
        let rows = (0_u16..).zip(&self.rows).skip(1);
        rows.filter(|(_, row)| row.as_ref().is_some_and(|row| lacks(&row.standing)))
            .map(|(rank, _)| rank)
            .collect()
    }

    /// Tells whether a rank has been heard lately.
    #[must_use]
    pub fn hears(&self, rank: u16, now: Instant) -> bool {
        let row = self.rows.get(usize::from(rank)).and_then(Option::as_ref);
        row.is_some_and(|row| now.saturating_duration_since(row.at) < LATELY)
    }
}
