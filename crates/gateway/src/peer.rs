//! The datagrams between entries and agents.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::message;
use cactusnotch_overload::Ceiling;
use cactusnotch_position::Position;

use crate::content::Fingerprint;
use crate::endpoint::StartTime;
use crate::{Endpoint, Slowdown};
use cactusnotch_throttle::Rate;
use cactusnotch_throttle::limits::Report;

/// The load of an endpoint, as measured by its agent.
#[message]
pub struct Load {
    /// The address at which the endpoint accepts requests.
    pub endpoint: SocketAddr,
    /// The endpoint's start time, if it states one.
    pub born: Option<StartTime>,
    /// Number of requests that run or wait there.
    pub requests: u32,
    /// Whether its group of ranks can accept requests.
    pub open: bool,
    /// Duration of its group's current passes, in milliseconds; zero while it makes none.
    pub pass: u16,
    /// Share of the prompt memory that is in use, in thousandths.
    pub memory: u16,
    /// How slow the endpoint is.
    pub pace: Slowdown,
    /// The group of ranks that the endpoint belongs to.
    #[serde(default)]
    pub group: Option<Group>,
    /// The limit of the group's running requests, if its leader has stated one recently.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Ceiling>,
}

/// A group of ranks.
#[message]
#[derive(Eq)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// A number that grows each time that the group forms.
    pub epoch: u64,
}

/// The registration of an entry.
#[message]
#[derive(Eq)]
pub struct Entry {
    /// The name of its host.
    pub host: String,
    /// The data centre of its host.
    pub data_centre: String,
    /// The address at which callers connect.
    pub listen: SocketAddr,
    /// The address at which it receives datagrams.
    pub peers: SocketAddr,
}

/// A datagram between entries, or between an entry and an agent.
#[message]
pub enum Datagram {
    /// An entry subscribes to an agent's load reports.
    Subscribe,
    /// An entry polls another one for its state, and sends its own registration.
    Ask {
        /// The sender's registration.
        entry: Entry,
        /// Whether the sender accepts callers' requests.
        ready: bool,
        /// The number of the poll round, which the answer repeats.
        round: u32,
    },
    /// An entry reports its state.
    State(State),
    /// An agent reports its endpoint's load.
    Load(Load),
    /// An entry forwards changes of endpoints.
    Changes(Changes),
    /// An endpoint crashed during a request.
    Crash(Crash),
    /// An entry has quarantined a request or a part of prompts.
    Held(Quarantined),
    /// A request or a part of prompts was answered that others may suspect or have
    /// quarantined.
    Served(Fingerprint),
    /// An entry reports rate limits of endpoints.
    Limits(Vec<Limit>),
}

/// The crash of an endpoint during a request that had produced no output yet.
#[message]
pub struct Crash {
    /// Fingerprint of the content that all attempts of the request have in common.
    pub content: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Fingerprint>,
    /// The incarnation of the endpoint.
    pub endpoint: String,
    /// Time since the request was sent there, in milliseconds.
    pub sent_ago: u32,
    /// Time since the crash was observed, in milliseconds.
    pub ago: u32,
}

/// A request, or a part of prompts, that an entry has quarantined.
#[message]
pub struct Quarantined {
    /// Fingerprint of the content that all attempts of the request have in common, or of the
    /// part.
    pub content: Fingerprint,
    /// Fingerprints of the parts that a request must have as well to be kept from endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub companions: Vec<Fingerprint>,
    /// Remaining time of the quarantine, in milliseconds.
    pub left: u32,
}

/// The rate limit of an endpoint, as observed by an entry.
#[message]
pub struct Limit {
    /// The name of the endpoint's registration.
    pub endpoint: String,
    /// Requests per second that it accepts from all entries together, `None` if it no longer
    /// has a limit.
    pub rate: Option<f64>,
    /// Time since the limit was observed, in milliseconds.
    pub ago: u32,
}

impl Limit {
    /// Returns the report, or `None` if its rate is invalid.
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

/// All changes of endpoints between two positions of the store, in order.
#[message]
pub struct Changes {
    /// The position after which they begin.
    pub from: Position,
    /// The position up to which they are complete.
    pub to: Position,
    /// Time since the end of the store's last outage that the sender observed, in
    /// milliseconds.
    pub returned_ago: Option<u32>,
    /// The names of endpoints with their registrations, `None` for a removed one.
    pub endpoints: Vec<(String, Option<Endpoint>)>,
}

/// An entry's cached evacuations of data centres.
#[message]
#[derive(Eq)]
pub struct Evacuated {
    /// The position of the store at which they were read.
    pub position: Position,
    /// The evacuated data centres.
    pub data_centres: Vec<String>,
    /// Time since the call to the store whose answer confirmed them, in milliseconds.
    pub age: Option<u32>,
}

/// The state of an entry.
#[message]
#[derive(Eq)]
pub struct State {
    /// Whether it accepts callers' requests.
    pub ready: bool,
    /// The number of the poll round that this answers, zero if it answers none.
    pub round: u32,
    /// The version of its configuration.
    pub version: u64,
    /// Age of its confirmation of that version, in milliseconds, if it has one.
    pub proof_age: Option<u32>,
    /// The position up to which its cached endpoints are complete.
    pub known: Position,
    /// Time since the end of the store's last outage that it observed, in milliseconds.
    pub returned_ago: Option<u32>,
    /// Its cached evacuations, if it follows them.
    pub evacuated: Option<Evacuated>,
}
