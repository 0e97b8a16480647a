//! The state machine of one process for membership and spread.

mod join;
mod platform;
mod receive;
mod send;
mod tick;

use std::net::SocketAddr;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Sequence;
use cactusnotch_member::{Backoff, Liveness, Record, Registration, Roster, State};
use cactusnotch_objects::object::Version;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::aggregate::Aggregate;
use crate::bucket::Bucket;
use crate::command::Command;
use crate::journal::Journal;
use crate::log::Log;
use crate::options::Options;
use crate::peer::Peer;
use crate::relay::Relays;
use crate::report::{Acknowledgement, Laggard};
use crate::span::Span;
use crate::stamp::Stamps;
use crate::standing::{Join, Standing};
use crate::status::Status;
use crate::topology::Topology;
use crate::watch::{Calls, Stale};

/// The state machine of one process for membership and spread.
///
/// The driver calls [`Node::on_tick`] about ten times a second,
/// [`Node::on_message`] for each message of a peer and [`Node::on_answer`] for
/// each completed call to the platform, and executes the returned commands.
#[derive(Debug)]
pub struct Node {
    options: Options,
    rng: StdRng,
    stamps: Stamps,
    registration: Registration,
    journal: Journal,
    liveness: Liveness,
    log: Log,
    newest: Sequence,
    in_force: Sequence,
    announced_in_force: Sequence,
    announced_report: Option<Acknowledgement>,
    lacking: Option<(u32, Vec<Laggard>, Instant)>,
    topology: Topology,
    computed: Option<(Version, u64, Instant)>,
    seeds: Table<Process, SocketAddr>,
    peers: Table<Process, Peer>,
    relays: Relays,
    calls: Calls,
    join: Join,
    leaving: bool,
    superseded: bool,
    pushes: Bucket,
    bulk: Bucket,
    next_contact: usize,
    exchanged: Option<Instant>,
    fetched: Option<Instant>,
    lagging_since: Option<Instant>,
    stale: Stale,
    started: Instant,
}

impl Node {
    /// Creates the node of a process that starts at `now`.
    ///
    /// `record` describes the process; its incarnation should exceed those
    /// of its earlier starts, such as the start time in wall-clock milliseconds.
    /// `seeds` are peers from the process's configuration, which are contacted
    /// while the platform is down.
    #[must_use]
    pub fn new(
        options: Options,
        record: Record,
        seeds: Table<Process, SocketAddr>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut registration = Registration::new(&options.member, record);
        registration
            .backoff()
            .delay(now, options.start_jitter, &mut rng);
        let record = registration.record();
        let own = record.process.clone();
        let liveness = Liveness::new(options.member.clone(), own, record.incarnation);
        let backoff = Backoff::new(options.member.retry_min, options.member.retry_max);
        let mut node = Self {
            stamps: Stamps::new(now, rng.random()),
            journal: Journal::new(options.retained),
            log: Log::new(options.retained),
            newest: Sequence(0),
            in_force: Sequence(0),
            announced_in_force: Sequence(0),
            announced_report: None,
            lacking: None,
            topology: Topology::default(),
            computed: None,
            seeds,
            peers: Table::new(),
            relays: Relays::default(),
            calls: Calls::new(backoff),
            join: Join::new(now + options.quarantine()),
            leaving: false,
            superseded: false,
            pushes: Bucket::new(options.rate, options.burst, now),
            bulk: Bucket::new(options.rate, options.burst, now),
            next_contact: 0,
            exchanged: None,
            fetched: None,
            lagging_since: None,
            stale: Stale::default(),
            started: now,
            registration,
            liveness,
            options,
            rng,
        };
        node.liveness.announce(now);
        node
    }

    /// Returns the record that the process wants stored in the platform.
    #[must_use]
    pub const fn record(&self) -> &Record {
        self.registration.record()
    }

    /// Returns the node's copy of the roster.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        self.journal.roster()
    }

    /// Returns the node's view of which processes are reachable.
    #[must_use]
    pub const fn liveness(&self) -> &Liveness {
        &self.liveness
    }

    /// Returns the newest revision that the process holds.
    #[must_use]
    pub const fn held(&self) -> Sequence {
        self.log.held()
    }

    /// Returns the newest revision that is confirmed to be in force everywhere.
    #[must_use]
    pub const fn in_force(&self) -> Sequence {
        self.in_force
    }

    /// Returns the address of `process`, from the roster or the seeds.
    #[must_use]
    pub fn address(&self, process: &Process) -> Option<SocketAddr> {
        let record = self.roster().get(process);
        record
            .map(|record| record.peers)
            .or_else(|| self.seeds.get(process).copied())
    }

    /// Returns whether the process is among its data centre's watchers of the
    /// platform. This grants no exclusive right: an extra watcher is harmless.
    #[must_use]
    pub fn watches(&self) -> bool {
        let rank = self.topology.rank;
        rank.is_some_and(|rank| rank < self.options.watchers)
    }

    /// Returns whether the process may serve at `now`. Callers check this before
    /// each piece of work, since the process may have been paused.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        if self.superseded {
            Standing::Superseded
        } else if self.leaving {
            Standing::Leaving
        } else if self.join.caught_up && self.is_isolated(now) {
            Standing::Isolated
        } else if self.join.complete {
            Standing::Serving
        } else {
            Standing::Joining
        }
    }

    /// Returns the status for operators at `now`.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let reported = self.lacking.as_ref();
        Status {
            standing: self.standing(now),
            held: self.log.held(),
            newest: self.newest,
            in_force: self.in_force,
            lacking: reported.map_or(0, |(count, ..)| *count),
            laggards: reported.map_or(Vec::new(), |(_, laggards, _)| laggards.clone()),
            age: reported.map(|(.., at)| now.saturating_duration_since(*at)),
        }
    }

    /// Stores `snapshot`, which starts after zero, for processes that lack more
    /// than the retained revisions.
    pub fn keep_snapshot(&mut self, snapshot: Span) {
        self.log.keep_snapshot(snapshot);
    }

    /// Starts a planned stop by setting the record's state to leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.registration.set_target(Some(State::Leaving));
    }

    /// Ends a planned stop by removing the record from the roster.
    pub fn deregister(&mut self) {
        self.leaving = true;
        self.registration.set_target(None);
    }

    /// Returns whether the platform stores the record in its target state.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registration.is_current()
    }

    /// Applies a revision that this process wrote or read itself.
    pub fn on_accepted(&mut self, span: Span, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        self.apply_spans(vec![span], None, now, &mut out);
        out
    }

    /// Returns whether neither a peer nor the platform has answered within the
    /// isolation time-out.
    fn is_isolated(&self, now: Instant) -> bool {
        if self.roster().len() <= 1 {
            return false;
        }
        let peers = self.peers.values().filter_map(|peer| peer.last_seen);
        let last = peers.chain(self.calls.answered()).max();
        let last = last.unwrap_or(self.started);
        now.saturating_duration_since(last) > self.options.isolation_timeout
    }

    fn aggregate(&self, now: Instant) -> Aggregate<'_> {
        Aggregate {
            own: self.registration.record(),
            options: &self.options,
            log: &self.log,
            journal: &self.journal,
            liveness: &self.liveness,
            topology: &self.topology,
            peers: &self.peers,
            now,
        }
    }
}
