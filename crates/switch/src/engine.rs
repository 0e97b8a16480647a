//! The orders to a rank's engine and the state that it reports.

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

/// An action that a rank's engine is ordered to carry out.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Action {
    /// Do not start the step until it is released. Refused if the step has
    /// started.
    Hold(Step),
    /// Start the step when it is due.
    Release(Step),
    /// Use a map from a step on, replacing any map set from a later step.
    Use(Switch),
    /// Load the weights of an expert.
    Load(Expert),
    /// Unload the weights of an expert.
    Unload(Expert),
}

/// The state of a rank's engine.
#[message]
#[derive(Eq, Hash)]
pub struct State {
    /// The incarnation of the engine process at this rank.
    pub life: u64,
    /// The next step that the engine will start.
    pub next: Step,
    /// Whether this engine process has started any step.
    pub started: bool,
    /// The held steps. A new engine holds its first step.
    pub holds: Vec<Step>,
    /// The map in force and the maps set from later steps, in order of steps.
    pub plan: Vec<Switch>,
    /// The experts that are loaded, in order.
    pub experts: Vec<Expert>,
    /// The experts that are being loaded.
    pub loading: Vec<Expert>,
}

impl State {
    /// Returns the map that the last started step used, or `None` if no step has
    /// started.
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

    /// Returns whether the engine has started no step and holds its next one, so
    /// it does not take part in the group until that step is released.
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
