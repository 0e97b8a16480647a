//! Options of a node.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_link as link;
use cactusnotch_objects::http;
use cactusnotch_spread as spread;

/// Options of a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// The identity of the process and the options of its links.
    pub link: link::Options,
    /// The client options for the platform.
    pub platform: http::Options,
    /// The intervals, time-outs and limits of the spread.
    pub spread: spread::Options,
    /// Peers that are contacted while the platform is down.
    pub seeds: Table<Process, SocketAddr>,
    /// The interval between ticks of the state machine.
    pub tick: Duration,
}
