//! The inputs of a member and the commands to its driver.

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

/// An input of a member.
#[record]
#[derive(Hash)]
pub enum Event {
    /// The process has started.
    Start,
    /// The timer set by the last [`Command::Wake`] has expired.
    Wake,
    /// The group's object was read, after a [`Command::ReadGroup`] or after
    /// the attempt of a [`Command::WriteGroup`], whether or not the write
    /// succeeded.
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
    /// A message was received.
    Message(Message),
}

/// A command of a member to its driver.
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
    /// Send a message to the process whose message this event delivered, even if
    /// it no longer has a seat.
    Reply(Message),
    /// Send an order to the engine.
    Order(Order<Action>),
    /// Read the engine's state and answer with this number.
    ReadEngine(Fence),
    /// Deliver [`Event::Wake`] after this time. If several are pending, the
    /// earliest one fires and clears the others.
    Wake(Duration),
    /// The outcome of a proposal was received.
    Decided {
        /// The proposal.
        id: Id,
        /// The switch, if it was committed.
        switch: Option<Switch>,
    },
    /// The rank's engine has started a step with this map.
    InForce(Switch),
    /// This member is retired; the driver drops it.
    Retire(Retirement),
}

/// Why a member was retired.
#[record]
#[derive(Copy, Hash)]
pub enum Retirement {
    /// Another process holds the rank's seat.
    Replaced,
    /// The engine process was replaced; a new member must be created.
    EngineLost,
}
