//! Orders to a rank's engine and the state it reports.

use cactusnotch_base::number::Step;
use cactusnotch_derive::{message, number};
use cactusnotch_order::{Progress, Wanted};

use crate::map::Switch;

/// An expert of a layer.
#[number]
pub struct Expert {
    /// The layer.
    pub layer: u16,
    /// The expert within its layer.
    pub expert: u16,
}

/// What a rank's engine is to do.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Action {
    /// Do not start the step until it is released; refused once started.
    Hold(Step),
    /// Start the step when its time comes.
    Release(Step),
    /// Use a map from a step on, in place of any map set from a later step.
    Use(Switch),
    /// Load the weights of an expert.
    Load(Expert),
    /// Drop the weights of an expert.
    Unload(Expert),
}

/// The state of a rank's engine.
#[message]
#[derive(Eq, Hash)]
pub struct State {
    /// Distinguishes the engine process from former ones at its place.
    pub life: u64,
    /// The next step that the engine will start.
    pub next: Step,
    /// Whether this engine process has started any step.
    pub started: bool,
    /// The steps that are held. A new engine holds its first step.
    pub holds: Vec<Step>,
    /// The map in force and those set from later steps, in order of steps.
    pub plan: Vec<Switch>,
    /// The experts that are loaded, in order.
    pub experts: Vec<Expert>,
    /// The experts that are being loaded.
    pub loading: Vec<Expert>,
}

impl State {
    /// Returns the map with which the engine has started a step.
    #[must_use]
    pub fn current(&self) -> Option<Switch> {
        let mut plan = self.plan.iter().rev().copied();
        plan.find(|set| self.started && set.from < self.next)
    }

    /// Returns the map that is set from a step not yet started.
    #[must_use]
    pub fn staged(&self) -> Option<Switch> {
        self.plan
            .last()
            .copied()
            .filter(|set| set.from >= self.next)
    }

    /// Tells whether the engine is without part in the group so far: it has
    /// started no step and will not by itself.
    #[must_use]
    pub fn is_awaiting_start(&self) -> bool {
        !self.started && self.holds.contains(&self.next)
    }
}

impl Wanted for Action {
    type State = State;

    fn supersedes(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Hold(step) | Self::Release(step), Self::Hold(old) | Self::Release(old)) => {
                step == old
            }
            (Self::Load(one) | Self::Unload(one), Self::Load(old) | Self::Unload(old)) => {
                one == old
            }
            _ => false,
        }
    }

    fn progress(&self, state: &State) -> Progress {
        let done = match self {
            Self::Hold(step) => state.holds.contains(step),
            Self::Release(step) => !state.holds.contains(step),
            Self::Use(switch) => state.plan.last() == Some(switch),
            Self::Load(expert) => state.experts.contains(expert),
            Self::Unload(expert) => !state.experts.contains(expert),
        };
        match self {
            _ if done => Progress::Done,
            Self::Hold(step) if state.next > *step => Progress::Impossible,
            Self::Load(expert) if state.loading.contains(expert) => Progress::Underway,
            _ => Progress::Absent,
        }
    }
}
