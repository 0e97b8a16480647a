//! The inputs of the driver beside a rank.

use cactusnotch_base::name::Process;
use cactusnotch_objects::object::Version;
use cactusnotch_order::Answer;
use cactusnotch_placement::Map as Content;
use cactusnotch_popularity::Report;
use cactusnotch_switch::engine::State;
use cactusnotch_switch::{Lease, Map, View};
use cactusnotch_wire::group::Body;

/// The state machine that requested a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    Member,
    Coordinator,
}

/// An input of the driver beside a rank.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message of another agent was received.
    Message { from: Process, body: Body },
    /// The group's object was read.
    Group {
        requester: Requester,
        version: Version,
        view: View,
    },
    /// The coordinator's lease was read.
    Lease(Option<(Version, Lease)>),
    /// The content of a map was read.
    Content { map: Map, content: Content },
    /// The content of the map in force was read, for planning.
    InForce { map: Map, content: Content },
    /// The content of a map was written to the platform.
    Recorded { map: Map, content: Content },
    /// The rank's engine answered.
    Engine(Answer<State>),
    /// The rank's reports were read.
    Reports(Vec<Report>),
}
