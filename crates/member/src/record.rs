//! A process as the roster knows it.

use std::net::SocketAddr;

use cactusnotch_base::name::{DataCentre, Endpoint, Host, Process, Region};
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{message, number};

/// What a process does.
#[number]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It takes callers' requests.
    #[default]
    Entry,
    /// It stands beside an endpoint.
    Agent,
}

/// How far a process has come in its life.
#[number]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It learns the newest settings and does not serve yet.
    #[default]
    Joining,
    /// It serves.
    Serving,
    /// It finishes what runs and takes no new work.
    Leaving,
}

/// A process as the roster knows it, kept in an object of kind
/// [`Record::KIND`] under the process's name.
///
/// The name stands for the place (host and role), so that a process that is
/// restarted in place keeps its name and takes a larger incarnation.
#[message]
#[derive(Eq)]
pub struct Record {
    /// The process.
    pub process: Process,
    /// What the process does.
    pub role: Role,
    /// The host that it runs on.
    pub host: Host,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// Where other processes reach it.
    pub peers: SocketAddr,
    /// Where callers reach it, for an entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// The endpoint beside it, for an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<Endpoint>,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// How far the process has come in its life.
    pub state: State,
}

impl Record {
    /// The kind of the platform's objects that hold members.
    pub const KIND: &'static str = "member";
}
