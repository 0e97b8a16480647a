//! Orders to an engine, and whether it checks who gives them.

use cactusnotch_base::number::Fence;
use cactusnotch_derive::message;

/// What an engine does about fencing numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an order with a smaller number than the largest it has seen.
    #[default]
    Checked,
    /// It carries out every order.
    Ignored,
}

/// An order to change what an engine serves. Repeating one changes nothing.
#[message]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    LoadModel(String),
    /// Unload a model.
    UnloadModel(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Unload an adapter.
    UnloadAdapter(String),
    /// Serve this version of the weights.
    Version(String),
    /// Take this role, such as `prefill` or `decode`.
    Role(String),
}

/// An order as it is sent.
#[message]
#[derive(Eq)]
pub struct Command {
    /// The fencing number of the sender.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}

/// What an engine serves, as the orders have left it.
#[message]
#[derive(Default, Eq)]
pub struct Served {
    /// The fencing number of the last order carried out.
    pub fence: Fence,
    /// The models, sorted.
    pub models: Vec<String>,
    /// The adapters, sorted.
    pub adapters: Vec<String>,
    /// The version of the weights.
    pub version: String,
    /// The role.
    pub role: String,
}

impl Served {
    /// Carries out `command`, and tells whether it was accepted.
    pub(crate) fn apply(&mut self, command: Command, fencing: Fencing) -> bool {
        if fencing == Fencing::Checked && command.fence < self.fence {
            return false;
        }
        self.fence = command.fence;
        match command.order {
            Order::LoadModel(name) => insert(&mut self.models, name),
            Order::UnloadModel(name) => self.models.retain(|other| *other != name),
            Order::LoadAdapter(name) => insert(&mut self.adapters, name),
            Order::UnloadAdapter(name) => self.adapters.retain(|other| *other != name),
            Order::Version(version) => self.version = version,
            Order::Role(role) => self.role = role,
        }
        true
    }
}

fn insert(names: &mut Vec<String>, name: String) {
    if let Err(at) = names.binary_search(&name) {
        names.insert(at, name);
    }
}
