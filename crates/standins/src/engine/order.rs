//! Orders to an engine, and whether it checks who gives them.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Model;
use cactusnotch_base::number::Fence;
use cactusnotch_derive::message;
use cactusnotch_order::model::{Requirement, Role, State};
use cactusnotch_order::{Answer, Reply};

use super::Options;

/// What an engine does about fencing numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an order with a smaller number than the largest it has seen.
    #[default]
    Checked,
    /// It carries out every order.
    Ignored,
}

/// An order as it is sent.
#[message]
#[derive(Eq)]
pub struct Command {
    /// The fencing number of the sender.
    pub fence: Fence,
    /// What the engine shall hold or be. Repeating an order changes nothing.
    #[serde(alias = "wanted")]
    pub order: Requirement,
}

/// What an engine serves, as the orders have left it.
#[derive(Debug)]
pub(crate) struct Served {
    fence: Fence,
    state: State,
    /// When the work underway is done, in the order of [`State::underway`].
    due: Vec<Instant>,
    fencing: Fencing,
    load_time: Duration,
    broken: Vec<String>,
}

impl Served {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            fence: Fence(0),
            state: State {
                versions: options.models.clone(),
                adapters: Vec::new(),
                role: Role::Mixed,
                underway: Vec::new(),
                failed: Vec::new(),
            },
            due: Vec::new(),
            fencing: options.fencing,
            load_time: options.load_time,
            broken: options.broken.clone(),
        }
    }

    /// Returns the answer to a read.
    pub(crate) fn read(&mut self, now: Instant) -> Answer<State> {
        self.settle(now);
        self.answer(self.fence, Reply::Taken)
    }

    /// Tells whether a version of `model` is loaded.
    pub(crate) fn serves(&mut self, model: &str, now: Instant) -> bool {
        self.settle(now);
        let mut models = self.state.versions.iter();
        models.any(|(loaded, _)| loaded.as_str() == model)
    }

    /// Takes an order, which changes nothing if it is repeated.
    pub(crate) fn apply(&mut self, command: Command, now: Instant) -> Answer<State> {
        self.settle(now);
        if self.fencing == Fencing::Checked && command.fence < self.fence {
            return self.answer(command.fence, Reply::Fenced);
        }
        self.fence = command.fence;
        self.begin(command.order, now);
        self.settle(now);
        self.answer(command.fence, Reply::Taken)
    }

    fn answer(&self, fence: Fence, reply: Reply) -> Answer<State> {
        Answer {
            fence,
            reply,
            state: self.state.clone(),
        }
    }

    fn begin(&mut self, wish: Requirement, now: Instant) {
        if self.state.underway.contains(&wish) || self.has(&wish) {
            return;
        }
        self.state.failed.retain(|failed| *failed != wish);
        let time = match wish {
            Requirement::Version { .. } | Requirement::Adapter { .. } => self.load_time,
            Requirement::NoAdapter { .. } | Requirement::Role(_) => Duration::ZERO,
        };
        self.state.underway.push(wish);
        self.due.push(now + time);
    }

    fn has(&self, wish: &Requirement) -> bool {
        let has = |list: &[(Model, String)], model: &Model, name: &String| {
            list.iter().any(|(own, text)| own == model && text == name)
        };
        match wish {
            Requirement::Version { model, version } => has(&self.state.versions, model, version),
            Requirement::Adapter { model, adapter } => has(&self.state.adapters, model, adapter),
            Requirement::NoAdapter { .. } | Requirement::Role(_) => false,
        }
    }

    /// Ends the work whose time has come.
    fn settle(&mut self, now: Instant) {
        while let Some(at) = self.due.iter().position(|due| *due <= now) {
            self.due.remove(at);
            let wish = self.state.underway.remove(at);
            self.end(wish);
        }
    }

    fn end(&mut self, wish: Requirement) {
        let state = &mut self.state;
        match &wish {
            Requirement::Version { version: name, .. }
            | Requirement::Adapter { adapter: name, .. }
                if self.broken.contains(name) =>
            {
                state.failed.push(wish);
            }
            Requirement::Version { model, version } => {
                state.versions.retain(|(loaded, _)| loaded != model);
                insert(&mut state.versions, model, version);
            }
            Requirement::Adapter { model, adapter } => insert(&mut state.adapters, model, adapter),
            Requirement::NoAdapter { model, adapter } => state
                .adapters
                .retain(|(own, name)| own != model || name != adapter),
            Requirement::Role(role) => state.role = *role,
        }
    }
}

fn insert(list: &mut Vec<(Model, String)>, model: &Model, name: &str) {
    let row = (model.clone(), name.to_owned());
    if let Err(at) = list.binary_search(&row) {
        list.insert(at, row);
    }
}
