//! Orders to model engines.

use cactusnotch_base::name::Model;
use cactusnotch_derive::message;

use crate::wanted::{Progress, Wanted};

/// What a model engine shall hold or be.
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

/// The part of the work that an engine takes.
#[message]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompts and answers.
    Mixed,
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
}

/// What a model engine reports to `GET /orders`.
#[message]
#[derive(Eq, Hash)]
pub struct State {
    /// The models that are loaded, with the version of each.
    pub versions: Vec<(Model, String)>,
    /// The adapters that are loaded, with the model of each.
    pub adapters: Vec<(Model, String)>,
    /// The role of the engine.
    pub role: Role,
    /// What the engine is at work on.
    pub underway: Vec<Requirement>,
    /// What the engine has tried and cannot do.
    pub failed: Vec<Requirement>,
}

impl State {
    fn has(&self, wish: &Requirement) -> bool {
        let loaded = |list: &[(Model, String)], model: &Model, name: &String| {
            list.iter().any(|(m, n)| m == model && n == name)
        };
        match wish {
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
