//! The times and bounds of a node.

use std::time::Duration;

use cactusnotch_derive::record;

/// The times and bounds of a node.
#[record]
pub struct Options {
    /// The times of membership.
    pub member: cactusnotch_member::Options,
    /// Over how long the first calls of processes that start together are
    /// spread.
    pub start_jitter: Duration,
    /// How many children a process has in its data centre's tree.
    pub fan_out: usize,
    /// How many processes of a data centre watch the platform.
    pub watchers: usize,
    /// How many random peers of the own data centre a process keeps in touch
    /// with, beside one elsewhere.
    pub contacts: usize,
    /// How often each child and each other data centre's head is pinged.
    pub ping_interval: Duration,
    /// How often one of the random peers is pinged.
    pub exchange_interval: Duration,
    /// How often the random peers are drawn anew.
    pub contact_lifetime: Duration,
    /// After which silence a neighbour is probed through others.
    pub probe_timeout: Duration,
    /// After which silence a neighbour is suspected.
    pub suspect_timeout: Duration,
    /// How old an acknowledgement may be when a revision is said to be in
    /// force. A process restarted during an outage of the platform waits a
    /// little longer than this before it serves.
    pub acknowledgement_max_age: Duration,
    /// After which silence of all peers and of the platform a process stops
    /// taking new work.
    pub isolation_timeout: Duration,
    /// How many peers that have caught up a process hears before it serves
    /// while the platform is down, if the roster has that many.
    pub quorum: usize,
    /// How long a watch waits at the platform.
    pub watch_timeout: Duration,
    /// After how long without an acknowledgement a push is repeated.
    pub repeat_interval: Duration,
    /// After how long a process that peers could not bring up to date reads the
    /// platform itself.
    pub fallback_delay: Duration,
    /// The largest push that is sent unasked, in bytes.
    pub push_max: usize,
    /// The bytes a second for pushes, and for transfers larger than
    /// [`Options::push_max`].
    pub rate: u32,
    /// The bytes that may be pushed at once after a quiet time.
    pub burst: u32,
    /// How many revisions and roster changes are kept for repairs.
    pub retained: usize,
    /// How many processes that lack the newest revision are named.
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
    /// Returns how long a process that was restarted while the platform is
    /// down waits, so that acknowledgements of its earlier life have expired
    /// on every clock (that may run fast or slow by a fiftieth).
    #[must_use]
    pub fn quarantine(&self) -> Duration {
        self.acknowledgement_max_age + self.acknowledgement_max_age / 25
    }
}
