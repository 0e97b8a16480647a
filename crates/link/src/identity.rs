//! The identity of one side of a link.

use cactusnotch_base::name::{DataCentre, Host, Process};
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{identifier, message};
use derive_more::Display;

/// The role of a process in the cluster.
#[identifier]
#[derive(Copy, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A proxy that serves callers' requests.
    #[display("entry")]
    Entry,
    /// A process beside an endpoint.
    #[display("agent")]
    Agent,
    /// An operator's command.
    #[display("operator")]
    Operator,
}

/// The identity of one side of a link.
#[message]
#[derive(Eq, Display)]
#[display("{role} {process} on {host} in {data_centre}, incarnation {incarnation}")]
pub struct Identity {
    /// The process.
    pub process: Process,
    /// The role of the process.
    pub role: Role,
    /// The host of the process.
    pub host: Host,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}
