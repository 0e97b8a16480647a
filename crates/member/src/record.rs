//! The roster's record of a process.

use std::net::SocketAddr;

use cactusnotch_base::name::{DataCentre, Endpoint, Host, Process, Region};
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{message, number};

/// The role of a process.
#[number]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It accepts callers' requests.
    #[default]
    Entry,
    /// It runs beside an endpoint.
    Agent,
}

/// The state of a process.
#[number]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It obtains the newest settings and does not serve yet.
    #[default]
    Joining,
    /// It serves.
    Serving,
    /// It completes running work and accepts no new work.
    Leaving,
}

/// The roster's record of a process, stored in an object of kind
/// [`Record::KIND`] under the process's name.
///
/// The name identifies the place (host and role), so a process that is restarted
/// in place keeps its name and gets a larger incarnation.
#[message]
#[derive(Eq)]
pub struct Record {
    /// The process.
    pub process: Process,
    /// The role of the process.
    pub role: Role,
    /// The host that it runs on.
    pub host: Host,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The address for other processes.
    pub peers: SocketAddr,
    /// The address for callers, for an entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// The endpoint that it runs beside, for an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<Endpoint>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The state of the process.
    pub state: State,
}

impl Record {
    /// The kind of the platform's objects that store members.
    pub const KIND: &'static str = "member";
}
