//! What comes in to the part beside a rank.

use cactusnotch_base::name::Process;
use cactusnotch_objects::object::Version;
use cactusnotch_order::Answer;
use cactusnotch_placement::Map as Content;
use cactusnotch_popularity::Report;
use cactusnotch_switch::engine::State;
use cactusnotch_switch::{Lease, Map, View};
use cactusnotch_wire::group::Body;

/// Which of the two decisions asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asker {
    Member,
    Coordinator,
}

/// What comes in to the part beside a rank.
#[derive(Debug)]
pub(crate) enum Input {
    /// Another agent said something.
    Said { from: Process, body: Body },
    /// The group's object was read.
    Group {
        asker: Asker,
        version: Version,
        view: View,
    },
    /// The coordinator's lease was read.
    Lease(Option<(Version, Lease)>),
    /// The content of a map was read.
    Content { map: Map, content: Content },
    /// The content of the map in force was read for plans.
    InForce { map: Map, content: Content },
    /// The content of a map is on the platform.
    Recorded { map: Map, content: Content },
    /// The rank's engine answered.
    Engine(Answer<State>),
    /// The rank's reports were read.
    Reports(Vec<Report>),
}
