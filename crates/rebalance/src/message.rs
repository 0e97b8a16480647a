//! The datagrams between the agents of a group.

use std::net::SocketAddr;

use cactusnotch_derive::message;
use cactusnotch_overload::Ceiling;
use serde_bytes::ByteBuf;

use crate::Slowdown;
use crate::map::Move;
use crate::state::{Maps, Place};

/// The status of a rank, as its agent reports it to the agent of rank 0.
#[message]
pub struct Status {
    /// The rank.
    pub place: Place,
    /// Whether the group accepts requests.
    pub open: bool,
    /// The maps of the rank.
    pub maps: Maps,
    /// How slow the rank is.
    pub pace: Slowdown,
    /// The running and waiting requests for each of its slots, in hundredths.
    pub fill: u16,
    /// The term of the leader that the agent has seen last.
    pub term: Option<u64>,
    /// The pass before which the group is held, as the agent has received it in the round.
    pub met: Option<u64>,
    /// The progress of the latest round that the agent has received.
    pub heard: Option<Progress>,
    /// The version of the whole map that the agent has.
    pub known: Option<u64>,
    /// The experts that the rank holds in the map in force, by set, while the agent lacks
    /// the whole map.
    pub held: Option<Vec<Vec<u16>>>,
}

/// The progress of a round.
#[message]
#[derive(Copy, Eq)]
pub struct Progress {
    /// The version that the round will put in force.
    pub version: u64,
    /// The phase of the round.
    pub phase: Phase,
}

/// How often the requests of a rank, or of a branch of ranks, have chosen each expert since
/// its last message.
#[message]
pub struct Choices {
    /// The rank.
    pub place: Place,
    /// For each set, the number of choices that one unit of a count stands for.
    pub units: Vec<f32>,
    /// The counts of all sets, in units.
    pub counts: ByteBuf,
}

/// The phase of a round.
#[message]
#[derive(Copy, Eq)]
pub enum Phase {
    /// No round is under way.
    Rest,
    /// The ranks load the map.
    Prepare,
    /// All ranks have loaded the map, and the leader abandons it only if some rank is out
    /// of reach. This is announced before the group is held, so that other agents can
    /// complete the round if the leader becomes unresponsive afterwards.
    Commit,
    /// The group is held, and each agent that receives this phase confirms that it is
    /// responsive before any rank is armed: the one that has held the group, or all agents
    /// if the leader is unresponsive. It could never be determined whether an unresponsive
    /// rank is armed.
    Meet {
        /// The pass.
        step: u64,
    },
    /// The group is held and the ranks are armed for this pass.
    Arm {
        /// The pass.
        step: u64,
    },
}

/// The round, as the agent of rank 0 announces it to the others.
#[message]
pub struct Round {
    /// The group.
    pub group: String,
    /// The epoch of the group.
    pub epoch: u64,
    /// A number that is unique to the incarnation of the leading process.
    pub term: u64,
    /// The version that the round will put in force.
    pub version: u64,
    /// The version that the round starts from.
    pub base: u64,
    /// The difference between the two, while ranks have to load it.
    #[serde(with = "crate::moves")]
    pub moves: Vec<Move>,
    /// The phase of the round.
    pub phase: Phase,
    /// The last pass that an order to release the group may still name, however late that
    /// order is carried out. Only a hold before a later pass is one of the round.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub released: u64,
    /// Whether rank 0 lacks the map in force and asks which experts each rank holds.
    pub asks_held: bool,
    /// The limit of the group's running requests, if the group is under overload control.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Ceiling>,
}

/// The request of rank 0 to another rank to hold the group at rank 0's endpoint.
///
/// If a host freezes right after it has given an order, neither its agent nor its endpoint
/// can report whether the order took effect. If the endpoint is on another host than the
/// agent that gives the order, the group can be released at once.
#[message]
pub struct HoldRequest {
    /// The position of rank 0, which makes the request.
    pub place: Place,
    /// The address at which rank 0's endpoint accepts orders.
    pub endpoint: SocketAddr,
    /// The number of orders that the endpoint has begun; it refuses the hold if the number
    /// differs.
    pub sequence: u64,
    /// The pass.
    pub step: u64,
}

/// One set of the whole map, for agents that lack it.
#[message]
pub struct Part {
    /// The group.
    pub group: String,
    /// The epoch of the group.
    pub epoch: u64,
    /// The version of the map.
    pub version: u64,
    /// The index of the set.
    pub set: u16,
    /// The number of sets of the map.
    pub sets: u16,
    /// The experts that each rank holds.
    #[serde(with = "crate::experts")]
    pub ranks: Vec<Vec<u16>>,
}

/// A message of rank 0 for a rank to forward to its branch.
#[message]
pub struct Relay {
    /// The agents that it is forwarded to.
    pub to: Vec<SocketAddr>,
    /// An encoded datagram, which the relay handles as well.
    pub message: ByteBuf,
}

/// A message of rank 0, forwarded by a relay.
#[message]
pub struct Relayed {
    /// The address of rank 0's agent.
    pub leader: SocketAddr,
    /// The encoded datagram.
    pub message: ByteBuf,
}

/// A datagram between agents.
#[message]
pub enum Datagram {
    /// A rank searches for the agent of rank 0 of its group.
    Seek(Place),
    /// A rank reports its status.
    Standing(Status),
    /// A rank reports the expert choices of its requests.
    Choices(Choices),
    /// Rank 0 announces the round.
    Round(Round),
    /// A rank completes the round of an unresponsive leader and requests status reports.
    Finish(Round),
    /// Rank 0 requests that a rank hold the group.
    Ask(HoldRequest),
    /// Rank 0 sends a part of the map.
    Part(Part),
    /// Rank 0 has a rank forward a message.
    Relay(Relay),
    /// A relay forwards a message of rank 0.
    Relayed(Relayed),
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde asks for"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}
