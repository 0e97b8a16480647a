//! The datagrams between entries and agents.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::message;
use cactusnotch_position::Position;

use crate::content::Fingerprint;
use crate::endpoint::StartTime;
use crate::{Endpoint, Slowdown};
use cactusnotch_throttle::Rate;
use cactusnotch_throttle::limits::Report;

/// What an agent measured of its own endpoint.
#[message]
pub struct Load {
    /// Where the endpoint takes requests.
    pub endpoint: SocketAddr,
    /// When it started, if it says so.
    pub born: Option<StartTime>,
    /// The requests that run or wait there.
    pub requests: u32,
    /// Whether its group of ranks can take requests.
    pub open: bool,
    /// How long a pass of its group takes now, in milliseconds; zero while it
    /// makes none.
    pub pass: u16,
    /// The part of the memory for prompts that is in use, in thousandths.
    pub memory: u16,
    /// How slow the endpoint is.
    pub pace: Slowdown,
}

/// An entry as it makes itself known to others.
#[message]
#[derive(Eq)]
pub struct Entry {
    /// The name of its host.
    pub host: String,
    /// The data centre of its host.
    pub data_centre: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where it takes datagrams.
    pub peers: SocketAddr,
}

/// A datagram.
#[message]
pub enum Datagram {
    /// An entry subscribes to an agent's loads.
    Subscribe,
    /// An entry asks another how it is, and makes itself known.
    Ask {
        /// Who asks.
        entry: Entry,
        /// Whether it takes callers' requests.
        ready: bool,
        /// The number of the question, which the answer repeats.
        round: u32,
    },
    /// An entry states how it is.
    State(State),
    /// An agent states its endpoint's load.
    Load(Load),
    /// An entry passes on how endpoints changed.
    Changes(Changes),
    /// An endpoint ended under a request.
    Crash(Crash),
    /// An entry holds a request.
    Held(Quarantined),
    /// A request was served whole that others may suspect or hold.
    Served(Fingerprint),
    /// What an entry knows of endpoints' limits.
    Limits(Vec<Limit>),
}

/// An endpoint that ended while it ran a request which had given nothing yet.
#[message]
pub struct Crash {
    /// What all attempts of the request have in common.
    pub content: Fingerprint,
    /// The life of the endpoint.
    pub endpoint: String,
    /// How long ago the request was sent there, in milliseconds.
    pub sent_ago: u32,
    /// How long ago the endpoint was seen to have ended, in milliseconds.
    pub ago: u32,
}

/// A request that an entry keeps from endpoints.
#[message]
pub struct Quarantined {
    /// What all attempts of the request have in common.
    pub content: Fingerprint,
    /// How long it is held still, in milliseconds.
    pub left: u32,
}

/// The limit of an endpoint, as an entry heard it.
#[message]
pub struct Limit {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The requests a second that it takes from all entries together; none if it has no limit
    /// any more.
    pub rate: Option<f64>,
    /// How long ago that was heard, in milliseconds.
    pub ago: u32,
}

impl Limit {
    /// Returns what it says, or `None` if its rate is no rate.
    pub(crate) fn report(&self, now: Instant) -> Option<Report> {
        let limit = match self.rate {
            Some(rate) => Some(Rate::new(rate)?),
            None => None,
        };
        Some(Report {
            endpoint: self.endpoint.clone(),
            limit,
            at: now.checked_sub(Duration::from_millis(self.ago.into()))?,
        })
    }
}

/// All changes of endpoints between two positions of the store, in their order.
#[message]
pub struct Changes {
    /// The position after which they begin.
    pub from: Position,
    /// The position up to which there are no others.
    pub to: Position,
    /// How long ago the store came back from an outage, in milliseconds, if the
    /// sender saw one.
    pub returned_ago: Option<u32>,
    /// The names of endpoints with their registrations; none if one is gone.
    pub endpoints: Vec<(String, Option<Endpoint>)>,
}

/// What an entry knows of the data centres that operators have emptied.
#[message]
#[derive(Eq)]
pub struct Evacuated {
    /// The position of the store at which these were read.
    pub position: Position,
    /// The data centres that are evacuated.
    pub data_centres: Vec<String>,
    /// How long ago the store was asked whose answer confirmed them, in milliseconds.
    pub age: Option<u32>,
}

/// How an entry is.
#[message]
#[derive(Eq)]
pub struct State {
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// The number of the question that this answers; zero if it answers none.
    pub round: u32,
    /// The version of its configuration.
    pub version: u64,
    /// How old its proof of that version is, in milliseconds, if it has one.
    pub proof_age: Option<u32>,
    /// The position up to which it knows endpoints.
    pub known: Position,
    /// How long ago the store came back for it after an outage, in milliseconds.
    pub returned_ago: Option<u32>,
    /// What it knows of evacuated data centres, if it follows them.
    pub evacuated: Option<Evacuated>,
}
