//! What one rank's agent orders its own endpoint.

use crate::codec::Order;
use crate::map::Map;
use crate::message::{Heard, Part, Phase, Round};
use crate::state::{Maps, Place};

/// What one rank's agent knows of its group's maps, and what it orders its
/// own endpoint.
#[derive(Debug, Default)]
pub struct Member {
    place: Option<Place>,
    /// The whole map in force, with its version.
    current: Option<(u64, Map)>,
    /// The whole map that the round is to bring, with its version.
    next: Option<(u64, Map)>,
    round: Option<Round>,
    /// Whether rank 0 lacks the map in force.
    asked: bool,
    term: Option<u64>,
    parts: Vec<Part>,
}

impl Member {
    /// Creates a member that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what the endpoint says of its rank and maps. In another epoch or
    /// group everything starts anew.
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

    /// Returns the version of the whole map that is known to be in force.
    #[must_use]
    pub fn known(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Returns the term of the leader that was heard last.
    #[must_use]
    pub const fn term(&self) -> Option<u64> {
        self.term
    }

    /// Tells whether rank 0 asks which experts this rank holds.
    #[must_use]
    pub const fn is_asked(&self) -> bool {
        self.asked
    }

    /// Returns the round that was heard of last.
    #[must_use]
    pub const fn round(&self) -> Option<&Round> {
        self.round.as_ref()
    }

    /// Returns the pass before which the group is held, as far as the leader has told.
    #[must_use]
    pub fn met(&self) -> Option<u64> {
        match self.round.as_ref()?.phase {
            Phase::Meet { step } | Phase::Arm { step } => Some(step),
            Phase::Rest | Phase::Prepare | Phase::Commit => None,
        }
    }

    /// Returns how far the round is that was heard of last.
    #[must_use]
    pub fn heard(&self) -> Option<Heard> {
        let round = self.round.as_ref()?;
        Some(Heard {
            version: round.version,
            phase: round.phase,
        })
    }

    /// Tells whether a round is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.phase != Phase::Rest)
    }

    /// Takes a part of the map in force; returns whether it is complete now.
    pub fn learn(&mut self, part: Part) -> bool {
        if !self.is_mine(&part.group, part.epoch) {
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

    /// Takes the whole map in force.
    pub fn know(&mut self, version: u64, map: Map) {
        self.current = Some((version, map));
    }

    /// Takes how far the round is.
    pub fn take(&mut self, round: Round) {
        if !self.is_mine(&round.group, round.epoch) {
            return;
        }
        self.asked = round.asks_held;
        self.term = Some(round.term);
        let older = self.round.as_ref().is_some_and(|known| {
            round.version < known.version
                || (round.version == known.version && rank_of(round.phase) < rank_of(known.phase))
        });
        if !older {
            self.round = Some(round);
        }
    }

    /// Tells whether another rank is of the same group and life of it.
    #[must_use]
    pub fn is_in(&self, other: &Place) -> bool {
        self.is_mine(&other.group, other.epoch)
    }

    fn is_mine(&self, group: &str, epoch: u64) -> bool {
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
            // Only a loaded map is armed, and the round waits for that.
            Phase::Arm { step } => {
                (maps.prepared == Some(version)).then_some(Order::Arm { version, step })
            }
        }
    }

    /// Returns the map that the round is to bring.
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

/// The order in which the phases of a round follow each other.
const fn rank_of(phase: Phase) -> u8 {
    match phase {
        Phase::Prepare => 0,
        Phase::Commit => 1,
        Phase::Meet { .. } => 2,
        Phase::Arm { .. } => 3,
        Phase::Rest => 4,
    }
}
