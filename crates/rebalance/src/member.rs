//! Decides what one rank's agent orders its own endpoint.

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::{Ceiling, limit};

use crate::codec::Order;
use crate::map::Map;
use crate::message::{Part, Phase, Progress, Round};
use crate::state::{Maps, Place};

/// The maps of the group as one rank's agent has received them, and the orders to its own
/// endpoint that follow.
#[derive(Debug, Default)]
pub struct Member {
    place: Option<Place>,
    /// The whole map in force, with its version.
    current: Option<(u64, Map)>,
    /// The whole map that the round will put in force, with its version.
    next: Option<(u64, Map)>,
    round: Option<Round>,
    /// Whether rank 0 lacks the map in force.
    held_requested: bool,
    term: Option<u64>,
    parts: Vec<Part>,
    /// The limit that rank 0 stated last, and when it was received.
    limit: Option<(Ceiling, Instant)>,
}

impl Member {
    /// Creates a member without any state.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the rank and maps that the endpoint reports. A new epoch or group resets all
    /// state.
    pub fn observe(&mut self, place: &Place, maps: &Maps) {
        if self.place.as_ref() != Some(place) {
            *self = Self {
                place: Some(place.clone()),
                ..Self::default()
            };
        }
        if self
            .next
            .as_ref()
            .is_some_and(|(version, _)| *version == maps.current)
        {
            self.current = self.next.take();
        }
        if self
            .current
            .as_ref()
            .is_some_and(|(version, _)| *version != maps.current)
        {
            self.current = None;
        }
    }

    /// Returns the version of the whole map in force, if it is known.
    #[must_use]
    pub fn map_version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Returns the term of the leader that was seen last.
    #[must_use]
    pub const fn term(&self) -> Option<u64> {
        self.term
    }

    /// Returns whether rank 0 asks which experts this rank holds.
    #[must_use]
    pub const fn is_held_requested(&self) -> bool {
        self.held_requested
    }

    /// Returns the latest round received.
    #[must_use]
    pub const fn round(&self) -> Option<&Round> {
        self.round.as_ref()
    }

    /// Returns the pass before which the group is held, according to the leader.
    #[must_use]
    pub fn held_step(&self) -> Option<u64> {
        match self.round.as_ref()?.phase {
            Phase::Meet { step } | Phase::Arm { step } => Some(step),
            Phase::Rest | Phase::Prepare | Phase::Commit => None,
        }
    }

    /// Returns the version and phase of the latest round received.
    #[must_use]
    pub fn progress(&self) -> Option<Progress> {
        let round = self.round.as_ref()?;
        Some(Progress {
            version: round.version,
            phase: round.phase,
        })
    }

    /// Returns whether a round is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.phase != Phase::Rest)
    }

    /// Adds a part of the map in force; returns whether the map is complete now.
    pub fn add_part(&mut self, part: Part) -> bool {
        if !self.matches(&part.group, part.epoch) {
            return false;
        }
        self.parts
            .retain(|known| known.version == part.version && known.set != part.set);
        let (version, sets) = (part.version, usize::from(part.sets));
        self.parts.push(part);
        if self.parts.len() < sets {
            return false;
        }
        self.parts.sort_by_key(|part| part.set);
        let sets = self.parts.drain(..).map(|part| part.ranks).collect();
        self.current = Some((version, Map { sets }));
        true
    }

    /// Sets the whole map in force.
    pub fn set_map(&mut self, version: u64, map: Map) {
        self.current = Some((version, map));
    }

    /// Records the limit that a round of rank 0 states. A round that states none ends the
    /// former limit, and so does one of zero, which no leader states.
    pub fn update_limit(&mut self, round: &Round, now: Instant) {
        if self.matches(&round.group, round.epoch) {
            let limit = round.limit.and_then(Ceiling::received);
            self.limit = limit.map(|limit| (limit, now));
        }
    }

    /// Returns the limit of a group in an epoch, if this rank belongs to it and rank 0 has
    /// stated the limit recently.
    #[must_use]
    pub fn limit(&self, group: &str, epoch: u64, now: Instant) -> Option<Ceiling> {
        let (limit, at) = self.limit.filter(|_| self.matches(group, epoch))?;
        (now.saturating_duration_since(at) <= limit::VALID_TIME).then_some(limit)
    }

    /// Returns the limit if it has fallen by 5% or more since `sent`, which entries got.
    #[must_use]
    pub fn fallen_limit(
        &self,
        group: &str,
        epoch: u64,
        sent: Ceiling,
        now: Instant,
    ) -> Option<Ceiling> {
        let limit = self.limit(group, epoch, now)?;
        limit.has_fallen(sent).then_some(limit)
    }

    /// Records a round, unless it is older than the one recorded.
    pub fn update_round(&mut self, round: Round) {
        if !self.matches(&round.group, round.epoch) {
            return;
        }
        self.held_requested = round.asks_held;
        self.term = Some(round.term);
        let older = self.round.as_ref().is_some_and(|known| {
            round.version < known.version
                || (round.version == known.version
                    && phase_order(round.phase) < phase_order(known.phase))
        });
        if !older {
            self.round = Some(round);
        }
    }

    /// Returns whether another rank belongs to the same group and epoch.
    #[must_use]
    pub fn is_in_group_of(&self, other: &Place) -> bool {
        self.matches(&other.group, other.epoch)
    }

    fn matches(&self, group: &str, epoch: u64) -> bool {
        self.place
            .as_ref()
            .is_some_and(|place| place.group == group && place.epoch == epoch)
    }

    /// Returns the order that the endpoint needs for the round, if any.
    pub fn order(&mut self, maps: &Maps) -> Option<Order> {
        let round = self.round.as_ref()?;
        let version = round.version;
        if maps.current >= version || maps.armed.is_some() {
            return None;
        }
        match round.phase {
            Phase::Rest | Phase::Commit | Phase::Meet { .. } => None,
            Phase::Prepare if maps.prepared == Some(version) => None,
            Phase::Prepare => {
                let map = self.target()?;
                Some(Order::Prepare { version, map })
            }
            // Only a loaded map is armed; the round waits until it is loaded.
            Phase::Arm { step } => {
                (maps.prepared == Some(version)).then_some(Order::Arm { version, step })
            }
        }
    }

    /// Returns the map that the round will put in force.
    fn target(&mut self) -> Option<Map> {
        let round = self.round.as_ref()?;
        if let Some((version, map)) = &self.next
            && *version == round.version
        {
            return Some(map.clone());
        }
        let (version, current) = self.current.as_ref()?;
        if *version != round.base {
            return None;
        }
        let mut map = current.clone();
        if !round.moves.iter().all(|step| map.apply(step)) {
            return None;
        }
        self.next = Some((round.version, map.clone()));
        Some(map)
    }
}

/// Returns the position of a phase in the sequence of a round.
const fn phase_order(phase: Phase) -> u8 {
    match phase {
        Phase::Prepare => 0,
        Phase::Commit => 1,
        Phase::Meet { .. } => 2,
        Phase::Arm { .. } => 3,
        Phase::Rest => 4,
    }
}
