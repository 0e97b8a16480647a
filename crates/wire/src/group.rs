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
    /// The content.
    pub body: Body,
}

/// The content of a [`Message`].
#[message]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// A message of the agreement on the expert map.
    Switch(switch::Message),
    /// The reports of the sender's rank on its executed steps.
    Reports(Vec<Report>),
}
