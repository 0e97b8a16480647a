//! The orders to model engines.

use cactusnotch_base::name::Model;
use cactusnotch_derive::message;

use crate::wanted::{Progress, Wanted};

/// A state that a model engine must have.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Requirement {
    /// A version of a model is loaded.
    Version {
        /// The model.
        model: Model,
        /// The version of its weights.
        version: String,
    },
    /// An adapter is loaded beside a model.
    Adapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: String,
    },
    /// An adapter is not loaded.
    NoAdapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: String,
    },
    /// The engine has this role.
    Role(Role),
}

/// The kind of work that an engine does.
#[message]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The state that a model engine reports in answer to `GET /orders`.
#[message]
#[derive(Eq, Hash)]
pub struct State {
    /// The models that are loaded, with the version of each.
    pub versions: Vec<(Model, String)>,
    /// The adapters that are loaded, with the model of each.
    pub adapters: Vec<(Model, String)>,
    /// The role of the engine.
    pub role: Role,
    /// The requirements that the engine is working on.
    pub underway: Vec<Requirement>,
    /// The requirements that the engine has attempted and cannot meet.
    pub failed: Vec<Requirement>,
}

impl State {
    fn has(&self, requirement: &Requirement) -> bool {
        let loaded = |list: &[(Model, String)], model: &Model, name: &String| {
            list.iter().any(|(m, n)| m == model && n == name)
        };
        match requirement {
            Requirement::Version { model, version } => loaded(&self.versions, model, version),
            Requirement::Adapter { model, adapter } => loaded(&self.adapters, model, adapter),
            Requirement::NoAdapter { model, adapter } => !loaded(&self.adapters, model, adapter),
            Requirement::Role(role) => self.role == *role,
        }
    }
}

impl Wanted for Requirement {
    type State = State;

    fn supersedes(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Version { model, .. }, Self::Version { model: old, .. }) => model == old,
            (
                Self::Adapter { model, adapter } | Self::NoAdapter { model, adapter },
                Self::Adapter {
                    model: old,
                    adapter: name,
                }
                | Self::NoAdapter {
                    model: old,
                    adapter: name,
                },
            ) => model == old && adapter == name,
            (Self::Role(_), Self::Role(_)) => true,
            _ => false,
        }
    }

    fn progress(&self, state: &State) -> Progress {
        if state.underway.contains(self) {
            Progress::Underway
        } else if state.has(self) {
            Progress::Done
        } else if state.failed.contains(self) {
            Progress::Impossible
        } else {
            Progress::Absent
        }
    }
}
