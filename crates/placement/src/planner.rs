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

/// Why no plan can be computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The map is for another model.
    #[display("the map has {found}, but the group has {expected}")]
    Shape {
        /// The shape of the map.
        found: Shape,
        /// The shape that the planner was created for.
        expected: Shape,
    },
    /// The number of states differs from the number of ranks, or the map names
    /// a rank outside the group.
    #[display("{found} rank states were given for {expected} ranks")]
    Ranks {
        /// The number of states.
        found: usize,
        /// The number of ranks of the group.
        expected: usize,
    },
    /// The usable ranks have too few slots.
    #[display("{usable} usable ranks have too few slots for all experts of layer {layer}")]
    Slots {
        /// The first layer that does not fit.
        layer: u16,
        /// The number of usable ranks.
        usable: usize,
    },
}

/// The planner of one group: the popularity estimates and the policy by which
/// experts are moved.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    popularity: Popularity,
    last_report: Option<Instant>,
}

impl Planner {
    /// Creates the planner of a group without any reports yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let popularity = Popularity::new(options.shape, options.ranks, options.popularity);
        Self {
            options,
            popularity,
            last_report: None,
        }
    }

    /// Returns the estimates.
    #[must_use]
    pub const fn popularity(&self) -> &Popularity {
        &self.popularity
    }

    /// Adds a report that arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the report was not counted.
    pub fn observe(&mut self, report: &Report, now: Instant) -> Result<(), popularity::Error> {
        self.popularity.observe(report)?;
        self.last_report = Some(now);
        Ok(())
    }

    /// Returns a plan that changes `current`, the map in force, or `None` if no
    /// change pays back. `states` has one entry for each rank. Call it once per
    /// interval of `budget`, and not while another plan is being carried out.
    ///
    /// # Errors
    ///
    /// Returns an error if the map or the states are for another group, or if
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
        let mut value = weights.split(before, split, budget);
        // The group is stalled until the required moves are made, so no other
        // load may delay them.
        if required == 0 && self.has_recent_report(now) {
            value += improve::improve(&mut draft, &self.options, weights, budget);
        }
        let forced = required > 0 || uses_missing_replica(current, states);
        if !forced && value <= weights.cost * self.options.switch.as_secs_f64() {
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

    /// Returns whether the newest report is recent enough to move experts for
    /// speed.
    fn has_recent_report(&self, now: Instant) -> bool {
        let age = |last_report| now.saturating_duration_since(last_report);
        self.last_report
            .is_some_and(|last_report| age(last_report) <= self.options.stale)
    }

    /// Adds the moves that give every expert a replica, and returns their
    /// number.
    fn restore(&self, draft: &mut Draft) -> Result<usize, Error> {
        for layer in 0..self.options.shape.layers {
            let usable = draft.usable.iter().filter(|&&usable| usable).count();
            draft.restore(layer).ok_or(Error::Slots { layer, usable })?;
        }
        Ok(draft.moves.len())
    }
}

/// Returns whether the map names a rank that does not hold its experts.
fn uses_missing_replica(current: &Map, states: &[State]) -> bool {
    let mut replicas = current.cells().flat_map(|(_, row)| row);
    replicas.any(|replica| states[replica.rank.index()] != State::Loaded)
}
