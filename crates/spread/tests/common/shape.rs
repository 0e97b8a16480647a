//! The placement of processes.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_member::{Record, Role, State};

/// The placement of processes.
#[derive(Debug, Clone)]
pub struct Shape {
    pub regions: usize,
    pub data_centres: usize,
    pub entries: usize,
    pub agents: usize,
}

/// Returns the record of the process numbered `at`.
pub fn record(shape: &Shape, at: usize) -> Record {
    let entry = at < shape.entries;
    let number = if entry { at } else { at - shape.entries };
    let data_centre = number % shape.data_centres;
    let region = data_centre % shape.regions;
    let role = if entry { Role::Entry } else { Role::Agent };
    let name = if entry { "entry" } else { "agent" };
    let port = u16::try_from(at % 60_000).unwrap_or_default();
    let address = ([10, 0, 0, 1], port).into();
    Record {
        process: Process::new(format!("{name}-{number:04}")),
        role,
        host: format!("host-{number:04}").as_str().into(),
        data_centre: format!("dc-{data_centre}").as_str().into(),
        region: format!("region-{region}").as_str().into(),
        peers: address,
        callers: entry.then_some(address),
        endpoint: (!entry).then(|| format!("endpoint-{number:04}").as_str().into()),
        incarnation: Incarnation(0),
        state: State::Joining,
    }
}
