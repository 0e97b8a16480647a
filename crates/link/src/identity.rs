//! Who stands at one side of a link.

use cactusnotch_base::name::{DataCentre, Host, Process};
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{identifier, message};
use derive_more::Display;

/// What a process does in the cluster.
#[identifier]
#[derive(Copy, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It takes callers' requests.
    #[display("entry")]
    Entry,
    /// It stands beside an endpoint.
    #[display("agent")]
    Agent,
    /// It is an operator's command.
    #[display("operator")]
    Operator,
}

/// Who stands at one side of a link.
#[message]
#[derive(Eq, Display)]
#[display("{role} {process} on {host} in {data_centre}, incarnation {incarnation}")]
pub struct Identity {
    /// The process.
    pub process: Process,
    /// What the process does.
    pub role: Role,
    /// The host that it runs on.
    pub host: Host,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The life of the process.
    pub incarnation: Incarnation,
}
