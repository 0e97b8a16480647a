//! Messages between the agents of a group of ranks.

use cactusnotch_base::name::Group;
use cactusnotch_derive::message;
use cactusnotch_popularity::Report;
use cactusnotch_switch as switch;

/// A message between the agents of a group of ranks.
#[message]
pub struct Message {
    /// The group.
    pub group: Group,
    /// What is said.
    pub body: Body,
}

/// What an agent tells another one of its group.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// It takes part in the agreement on the expert map.
    Switch(switch::Message),
    /// It passes on what its rank reports of the steps it has taken.
    Reports(Vec<Report>),
}
