//! The planner of one group.

use cactusnotch_base::clock::Instant;
use cactusnotch_popularity::{Popularity, Report, Shape, popularity};
use derive_more::{Display, Error};

use crate::budget::Budget;
use crate::draft::Draft;
use crate::improve;
use crate::map::Map;
use crate::options::Options;
use crate::plan::{Plan, Prediction};
use crate::state::State;
use crate::weights::Weights;

/// Why no plan can be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The map is of another model.
    #[display("the map has {found}, the group has {expected}")]
    Shape {
        /// The shape of the map.
        found: Shape,
        /// The shape that the planner was created for.
        expected: Shape,
    },
    /// The list of states is not of the group.
    #[display("{found} rank states were given for {expected} ranks")]
    Ranks {
        /// The states given.
        found: usize,
        /// The ranks of the group.
        expected: usize,
    },
    /// The ranks that can be used have too few slots.
    #[display("{usable} usable ranks have too few slots for all experts of layer {layer}")]
    Slots {
        /// The first layer that does not fit.
        layer: u16,
        /// The ranks that can be used.
        usable: usize,
    },
}

/// The planner of one group: the estimates, and the rule by which experts are
/// moved.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    popularity: Popularity,
    heard: Option<Instant>,
}

impl Planner {
    /// Creates the planner of a group of which nothing has been heard.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let popularity = Popularity::new(options.shape, options.ranks, options.popularity);
        Self {
            options,
            popularity,
            heard: None,
        }
    }

    /// Returns the estimates.
    #[must_use]
    pub const fn popularity(&self) -> &Popularity {
        &self.popularity
    }

    /// Takes in a report that arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns why the report was not counted.
    pub fn observe(&mut self, report: &Report, now: Instant) -> Result<(), popularity::Error> {
        self.popularity.observe(report)?;
        self.heard = Some(now);
        Ok(())
    }

    /// Returns what to do about `current`, the map in force, or `None` if it
    /// is best left alone. `states` has one entry for each rank. It is to be
    /// called once each interval of `budget`, and not while a plan is under
    /// way.
    ///
    /// # Errors
    ///
    /// Returns an error if the map or the states are of another group, or if
    /// the usable ranks cannot hold all experts.
    pub fn plan(
        &mut self,
        current: &Map,
        states: &[State],
        weights: &Weights,
        budget: &Budget,
        now: Instant,
    ) -> Result<Option<Plan>, Error> {
        self.check(current, states)?;
        self.popularity.update_bursts();
        let mut draft = Draft::new(&self.options, &self.popularity, current, states);
        let before = draft.skew();
        draft.balance();
        let base = draft.layers.clone();
        let required = self.restore(&mut draft)?;
        let split = draft.skew();
        let mut worth = weights.split(before, split, budget);
        // The group stands still until the required moves are made, so that no
        // other load may hold them up.
        if required == 0 && self.fresh(now) {
            worth += improve::improve(&mut draft, &self.options, weights, budget);
        }
        let forced = required > 0 || uses_lost(current, states);
        if !forced && worth <= weights.cost * self.options.switch.as_secs_f64() {
            return Ok(None);
        }
        let predicted = Prediction {
            before,
            split,
            after: draft.skew(),
            bound: draft.bound(),
            bytes: self.options.bytes * draft.moves.len() as u64,
        };
        Ok(Some(Plan {
            moves: draft.moves,
            required,
            predicted,
            shape: self.options.shape,
            speeds: draft.speeds,
            layers: base,
        }))
    }

    fn check(&self, current: &Map, states: &[State]) -> Result<(), Error> {
        let (found, expected) = (current.shape(), self.options.shape);
        if found != expected {
            return Err(Error::Shape { found, expected });
        }
        let (found, expected) = (states.len(), usize::from(self.options.ranks));
        let highest = current.cells().flat_map(|(_, row)| row).map(|r| r.rank);
        let beyond = highest.max().is_some_and(|rank| rank.index() >= expected);
        if found != expected || beyond {
            return Err(Error::Ranks { found, expected });
        }
        Ok(())
    }

    /// Tells whether the newest report is young enough to move anything for
    /// speed.
    fn fresh(&self, now: Instant) -> bool {
        let age = |heard| now.saturating_duration_since(heard);
        self.heard
            .is_some_and(|heard| age(heard) <= self.options.stale)
    }

    /// Adds the moves that every expert needs for a replica, and returns how
    /// many they are.
    fn restore(&self, draft: &mut Draft) -> Result<usize, Error> {
        for layer in 0..self.options.shape.layers {
            let usable = draft.usable.iter().filter(|&&usable| usable).count();
            draft.restore(layer).ok_or(Error::Slots { layer, usable })?;
        }
        Ok(draft.moves.len())
    }
}

/// Tells whether the map names a rank that does not hold what it says.
fn uses_lost(current: &Map, states: &[State]) -> bool {
    let mut replicas = current.cells().flat_map(|(_, row)| row);
    replicas.any(|replica| states[replica.rank.index()] != State::Loaded)
}
