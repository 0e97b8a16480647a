//! The datagrams between the agents of a group.

use std::net::SocketAddr;

use cactusnotch_derive::message;
use serde_bytes::ByteBuf;

use crate::Slowdown;
use crate::map::Move;
use crate::state::{Maps, Place};

/// What an agent tells the agent of rank 0.
#[message]
pub struct Standing {
    /// The rank.
    pub place: Place,
    /// Whether the group takes requests.
    pub open: bool,
    /// The maps of the rank.
    pub maps: Maps,
    /// How slow the rank is.
    pub pace: Slowdown,
    /// The requests that run or wait there for each of its slots, in hundredths.
    pub fill: u16,
    /// The term of the leader that the agent has heard last.
    pub term: Option<u64>,
    /// The pass before which the group is held, as the agent has heard it in the round.
    pub met: Option<u64>,
    /// How far the round is that the agent has heard of last.
    pub heard: Option<Heard>,
    /// The version of the whole map that the agent knows.
    pub known: Option<u64>,
    /// The experts that the rank holds in the map in force, by set, while the
    /// agent does not know the whole map.
    pub held: Option<Vec<Vec<u16>>>,
}

/// How far a rank knows the round.
#[message]
#[derive(Copy, Eq)]
pub struct Heard {
    /// The version that the round is to bring.
    pub version: u64,
    /// How far it has come.
    pub phase: Phase,
}

/// How often a rank's requests, or those of a branch of ranks, chose each expert since its
/// last message.
#[message]
pub struct Choices {
    /// The rank.
    pub place: Place,
    /// For each set, what one unit of a count stands for.
    pub units: Vec<f32>,
    /// The counts of all sets, in units.
    pub counts: ByteBuf,
}

/// How far a round has come.
#[message]
#[derive(Copy, Eq)]
pub enum Phase {
    /// No round is under way.
    Rest,
    /// The ranks load the map.
    Prepare,
    /// All ranks have loaded the map, and the leader will not give it up any
    /// more unless some rank is out of reach. It says so before the group is held, so
    /// that others can go on if it falls silent then.
    Commit,
    /// The group is held, and who is told this says that it is there before any rank is
    /// armed: the one that has held the group, or all if the leader is silent. One that has
    /// fallen silent could never be known to be armed or not.
    Meet {
        /// The pass.
        step: u64,
    },
    /// The group is held and the ranks get armed for this pass.
    Arm {
        /// The pass.
        step: u64,
    },
}

/// What the agent of rank 0 asks of the others.
#[message]
pub struct Round {
    /// The group.
    pub group: String,
    /// The group's life.
    pub epoch: u64,
    /// The number of the leading process's life, which no other life has.
    pub term: u64,
    /// The version that the round is to bring.
    pub version: u64,
    /// The version that it starts from.
    pub base: u64,
    /// What differs between the two, while ranks are to load it.
    #[serde(with = "crate::moves")]
    pub moves: Vec<Move>,
    /// How far it has come.
    pub phase: Phase,
    /// Whether rank 0 lacks the map in force and asks which experts each rank
    /// holds.
    pub asks_held: bool,
}

/// Rank 0 asks another rank to hold the group at rank 0's endpoint.
///
/// A host that stands still right after it has given an order can't be asked what
/// became of it, nor can its endpoint. Held at another host than the one that gives the
/// order, the group can be let go at once.
#[message]
pub struct Ask {
    /// Rank 0, which asks.
    pub place: Place,
    /// Where its endpoint takes orders.
    pub endpoint: SocketAddr,
    /// The number of orders that the endpoint has begun; with another one it refuses
    /// the hold.
    pub sequence: u64,
    /// The pass.
    pub step: u64,
}

/// One set of the whole map, for agents that don't know it.
#[message]
pub struct Part {
    /// The group.
    pub group: String,
    /// The group's life.
    pub epoch: u64,
    /// The version of the map.
    pub version: u64,
    /// The number of the set.
    pub set: u16,
    /// The sets of the map.
    pub sets: u16,
    /// The experts that each rank holds.
    #[serde(with = "crate::experts")]
    pub ranks: Vec<Vec<u16>>,
}

/// Rank 0 has a rank pass on what it says.
#[message]
pub struct Relay {
    /// The agents that it is passed on to.
    pub to: Vec<SocketAddr>,
    /// An encoded datagram, for the relay too.
    pub message: ByteBuf,
}

/// What rank 0 says, passed on by a relay.
#[message]
pub struct Relayed {
    /// Where rank 0's agent is.
    pub leader: SocketAddr,
    /// The encoded datagram.
    pub message: ByteBuf,
}

/// A datagram between agents.
#[message]
pub enum Datagram {
    /// A rank looks for the agent of rank 0 of its group.
    Seek(Place),
    /// A rank tells how it stands.
    Standing(Standing),
    /// A rank tells what its requests chose.
    Choices(Choices),
    /// Rank 0 tells how far the round is.
    Round(Round),
    /// A rank completes the round of a silent leader and asks how others
    /// stand.
    Finish(Round),
    /// Rank 0 asks a rank to hold the group.
    Ask(Ask),
    /// Rank 0 tells a part of the map.
    Part(Part),
    /// Rank 0 has a rank pass on what it says.
    Relay(Relay),
    /// A relay passes on what rank 0 says.
    Relayed(Relayed),
}
