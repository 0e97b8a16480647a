//! What happens to a member, and what it asks of its driver.

use std::time::Duration;

use cactusnotch_base::number::Fence;
use cactusnotch_derive::record;
use cactusnotch_objects::object::Version;
use cactusnotch_order::{Answer, Order};

use crate::engine::{Action, Expert, State};
use crate::map::{Map, Switch};
use crate::message::{Message, Peer};
use crate::proposal::Id;
use crate::view::View;

/// What happens to a member.
#[record]
#[derive(Hash)]
pub enum Event {
    /// The process has started.
    Start,
    /// The time of the last [`Command::Wake`] has come.
    Wake,
    /// The group's object was read, after a [`Command::ReadGroup`] or after
    /// the attempt of a [`Command::WriteGroup`], whatever came of it.
    Group {
        /// The version of the object.
        version: Version,
        /// The view it holds.
        view: View,
    },
    /// The content of a map was read.
    Experts {
        /// The map.
        map: Map,
        /// The experts that this rank needs for it.
        experts: Vec<Expert>,
    },
    /// The engine answered an order or a read.
    Engine(Answer<State>),
    /// A message came.
    Message(Message),
}

/// What a member asks of its driver.
#[record]
#[derive(Hash)]
pub enum Command {
    /// Read the group's object from the platform.
    ReadGroup,
    /// Write the group's object if it is at `version`, then read it back.
    WriteGroup {
        /// The version at which it was read.
        version: Version,
        /// The view to write.
        view: View,
    },
    /// Read the content of a map.
    ReadMap(Map),
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Send a message to the process whose message this event brought, also
    /// if it has no seat any more.
    Reply(Message),
    /// Send an order to the engine.
    Order(Order<Action>),
    /// Read the engine's state and answer with this number.
    ReadEngine(Fence),
    /// Bring [`Event::Wake`] after this time. Of several, the shortest counts,
    /// and any wake clears the others.
    Wake(Duration),
    /// The rank has learned how a proposal ended.
    Decided {
        /// The proposal.
        id: Id,
        /// The switch, if it was committed.
        switch: Option<Switch>,
    },
    /// The rank's engine uses this map.
    InForce(Switch),
    /// This member has ended; the driver drops it.
    Retire(Retirement),
}

/// Why a member ended.
#[record]
#[derive(Copy, Hash)]
pub enum Retirement {
    /// Another process has the rank's seat.
    Replaced,
    /// The engine process was replaced: a new member must take its place.
    EngineLost,
}
