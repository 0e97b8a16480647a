//! How a node runs.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_link as link;
use cactusnotch_objects::http;
use cactusnotch_spread as spread;

/// How a node runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who the process is and how its links are made.
    pub link: link::Options,
    /// How the platform is reached.
    pub platform: http::Options,
    /// The times and bounds of the spread.
    pub spread: spread::Options,
    /// Peers to be asked while the platform is down.
    pub seeds: Table<Process, SocketAddr>,
    /// How often the decision is asked what is due.
    pub tick: Duration,
}
