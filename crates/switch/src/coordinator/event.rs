//! The inputs of a coordinator and the commands to its driver.

use std::time::Duration;

use cactusnotch_derive::record;
use cactusnotch_objects::object::Version;

use crate::lease::Lease;
use crate::map::Map;
use crate::message::{Message, Reason};
use crate::proposal::Id;
use crate::view::{Rank, View};

/// An input of a coordinator.
#[record]
#[derive(Hash)]
pub enum Event {
    /// The process has started.
    Start,
    /// The timer set by the last [`Command::Wake`] has expired.
    Wake,
    /// The lease was read, after a [`Command::ReadLease`] or after the attempt
    /// of a [`Command::WriteLease`], whether or not the write succeeded.
    Lease(Option<(Version, Lease)>),
    /// The group is to switch to the map with this content.
    SwitchTo {
        /// A digest of the map's content.
        digest: u64,
    },
    /// The group's object was read, after a [`Command::ReadGroup`] or after
    /// the attempt of a [`Command::WriteGroup`], whether or not the write
    /// succeeded.
    Group {
        /// The version of the object.
        version: Version,
        /// The view it holds.
        view: View,
    },
    /// The content of the map is stored on the platform.
    MapRecorded(Map),
    /// A message of a rank was received.
    Message(Message),
}

/// A command of a coordinator to its driver.
#[record]
#[derive(Hash)]
pub enum Command {
    /// Read the lease from the platform.
    ReadLease,
    /// Write the lease if it is at `version`, or absent, then read it back.
    WriteLease {
        /// The version at which it was read.
        version: Option<Version>,
        /// The lease to write.
        lease: Lease,
    },
    /// Read the group's object from the platform.
    ReadGroup,
    /// Write the group's object if it is at `version`, then read it back.
    WriteGroup {
        /// The version at which it was read.
        version: Version,
        /// The view to write.
        view: View,
    },
    /// Write the content of the map to the platform, if it is absent.
    RecordMap(Map),
    /// Send a message to a rank.
    Send {
        /// The receiver.
        to: Rank,
        /// The message.
        message: Message,
    },
    /// Deliver [`Event::Wake`] after this time. If several are pending, the
    /// earliest one fires and clears the others.
    Wake(Duration),
    /// The switch has ended.
    Ended(Ending),
    /// Another agent holds the lease.
    LeaseLost,
}

/// How a switch ended.
#[record]
#[derive(Copy, Hash)]
pub enum Ending {
    /// Every rank uses the map.
    Applied(Id, Map),
    /// A rank vetoed, and no rank ever uses the map.
    Vetoed(Id, Reason),
    /// The switch was abandoned before it was proposed.
    Abandoned,
}
