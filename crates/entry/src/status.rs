//! The status page of an entry.

use std::fmt;

use cactusnotch_base::name::{DataCentre, Endpoint, Process};
use cactusnotch_base::number::{Incarnation, Revision};
use cactusnotch_derive::message;
use cactusnotch_spread::{Laggard, Place};

/// The state of an entry and of the processes that it observes. `Display`
/// renders text tables for operators, and serde the form for machines.
#[message]
#[derive(Eq)]
pub struct Status {
    /// The entry.
    pub process: Process,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it accepts new work: `serving`, or the reason why not.
    pub standing: String,
    /// The revision in force at this entry.
    pub revision: Revision,
    /// The newest accepted revision that it has observed.
    pub newest: Revision,
    /// The newest revision that is in force in every process on the roster.
    pub in_force: Revision,
    /// The number of processes and data centres that lack the newest revision.
    pub lacking: u32,
    /// The first of them.
    pub lagging: Vec<Lagging>,
    /// The number of callers' connections to this entry.
    pub connections: usize,
    /// The number of queued requests.
    pub waiting: usize,
    /// The endpoints of its subset.
    pub endpoints: Vec<Observation>,
}

/// A process or data centre that lacks the newest revision.
#[message]
#[derive(Eq)]
pub struct Lagging {
    /// The process or the data centre.
    pub name: String,
    /// The newest revision that it has reported.
    pub revision: Revision,
    /// How long it has lacked the newest one, in milliseconds.
    pub for_ms: u64,
}

/// An entry's view of an endpoint.
#[message]
#[derive(Eq)]
pub struct Observation {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether it accepts new work: `serving`, `leaving` or `unreachable`.
    pub state: String,
    /// The entry's own requests at the endpoint.
    pub requests: u32,
    /// The time since its agent's last announcement, in milliseconds.
    pub heard_ms: Option<u64>,
}

impl Status {
    /// Returns the number of endpoints that accept new work.
    #[must_use]
    pub fn serving(&self) -> usize {
        let serving = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.state == "serving");
        serving.count()
    }
}

impl From<&Laggard> for Lagging {
    fn from(laggard: &Laggard) -> Self {
        Self {
            name: match &laggard.place {
                Place::Process(process) => process.to_string(),
                Place::DataCentre(data_centre) => format!("data centre {data_centre}"),
            },
            revision: laggard.held.0.into(),
            for_ms: laggard.for_ms,
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} in {}, incarnation {}: {}, {} connections, {} requests waiting",
            self.process,
            self.data_centre,
            self.incarnation,
            self.standing,
            self.connections,
            self.waiting
        )?;
        writeln!(
            f,
            "settings: revision {} here, {} accepted, {} in force everywhere",
            self.revision, self.newest, self.in_force
        )?;
        if self.lacking > 0 {
            writeln!(f, "lacking the newest revision: {}", self.lacking)?;
        }
        for row in &self.lagging {
            let seconds = row.for_ms / 1000;
            writeln!(f, "  {} holds {} (for {seconds} s)", row.name, row.revision)?;
        }
        writeln!(
            f,
            "{:<24} {:<12} {:>8} HEARD",
            "ENDPOINT", "STATE", "REQUESTS"
        )?;
        for row in &self.endpoints {
            let heard = row
                .heard_ms
                .map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms ago"));
            writeln!(
                f,
                "{:<24} {:<12} {:>8} {heard}",
                row.endpoint.as_str(),
                row.state,
                row.requests
            )?;
        }
        Ok(())
    }
}
