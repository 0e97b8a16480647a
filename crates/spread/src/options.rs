//! Intervals, time-outs and limits of a node.

use std::time::Duration;

use cactusnotch_derive::record;

/// Intervals, time-outs and limits of a node.
#[record]
pub struct Options {
    /// The options of membership.
    pub member: cactusnotch_member::Options,
    /// The period over which the first calls of processes that start together
    /// are spread.
    pub start_jitter: Duration,
    /// The number of children of a process in its data centre's tree.
    pub fan_out: usize,
    /// The number of processes of a data centre that watch the platform.
    pub watchers: usize,
    /// The number of random peers in its own data centre that a process
    /// exchanges state with, besides one in another data centre.
    pub contacts: usize,
    /// The interval between pings to each child and to the head of each other
    /// data centre.
    pub ping_interval: Duration,
    /// The interval between pings to one of the random peers.
    pub exchange_interval: Duration,
    /// How long a selection of random peers is used before a new one is drawn.
    pub contact_lifetime: Duration,
    /// How long a neighbour may be unresponsive before it is probed through
    /// other processes.
    pub probe_timeout: Duration,
    /// How long a neighbour may be unresponsive before it is suspected.
    pub suspect_timeout: Duration,
    /// The maximum age of an acknowledgement that counts towards a revision
    /// being in force. A process restarted during an outage of the platform
    /// waits a little longer than this before it serves.
    pub acknowledgement_max_age: Duration,
    /// How long all peers and the platform may be unresponsive before a process
    /// stops accepting new work.
    pub isolation_timeout: Duration,
    /// The number of caught-up peers that have to answer before a process serves
    /// while the platform is down, if the roster has that many.
    pub quorum: usize,
    /// How long the platform holds a watch open.
    pub watch_timeout: Duration,
    /// How long to wait for an acknowledgement before a push is repeated.
    pub repeat_interval: Duration,
    /// How long a process may lag behind its peers before it reads the platform
    /// itself.
    pub fallback_delay: Duration,
    /// The largest push that is sent without a request, in bytes.
    pub push_max: usize,
    /// The rate limit of pushes, and separately of transfers larger than
    /// [`Options::push_max`], in bytes per second.
    pub rate: u32,
    /// The burst size of these rate limits, in bytes.
    pub burst: u32,
    /// The number of revisions, and of roster changes, that are retained for
    /// repairs.
    pub retained: usize,
    /// The maximum number of laggards that a report lists.
    pub laggards_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            member: cactusnotch_member::Options::default(),
            start_jitter: Duration::from_secs(4),
            fan_out: 4,
            watchers: 2,
            contacts: 3,
            ping_interval: Duration::from_secs(1),
            exchange_interval: Duration::from_secs(2),
            contact_lifetime: Duration::from_mins(10),
            probe_timeout: Duration::from_millis(2_500),
            suspect_timeout: Duration::from_secs(5),
            acknowledgement_max_age: Duration::from_secs(15),
            isolation_timeout: Duration::from_secs(15),
            quorum: 2,
            watch_timeout: Duration::from_secs(30),
            repeat_interval: Duration::from_secs(1),
            fallback_delay: Duration::from_secs(5),
            push_max: 16 << 10,
            rate: 4 << 10,
            burst: 32 << 10,
            retained: 512,
            laggards_max: 8,
        }
    }
}

impl Options {
    /// Returns how long a process that was restarted while the platform is down
    /// waits before it serves. By then, acknowledgements of its earlier
    /// incarnation have expired on every clock, even if clocks run fast or slow
    /// by 1/50.
    #[must_use]
    pub fn quarantine(&self) -> Duration {
        self.acknowledgement_max_age + self.acknowledgement_max_age / 25
    }
}
