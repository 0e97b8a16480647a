//! Aggregation of the acknowledgements that one node has received.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::{DataCentre, Process};
use cactusnotch_base::number::Sequence;
use cactusnotch_member::{Fingerprint, Liveness, Record};

use crate::journal::Journal;
use crate::log::Log;
use crate::options::Options;
use crate::peer::Peer;
use crate::report::{Acknowledgement, Laggard, Place, Report, millis};
use crate::topology::Topology;

/// How long a child may lack a revision before it is listed as a laggard; a
/// push may take this long to arrive.
const PUSH_GRACE: Duration = Duration::from_secs(1);

/// The state of a node that acknowledgements are aggregated from.
pub(crate) struct Aggregate<'a> {
    pub(crate) own: &'a Record,
    pub(crate) options: &'a Options,
    pub(crate) log: &'a Log,
    pub(crate) journal: &'a Journal,
    pub(crate) liveness: &'a Liveness,
    pub(crate) topology: &'a Topology,
    pub(crate) peers: &'a Table<Process, Peer>,
    pub(crate) now: Instant,
}

impl Aggregate<'_> {
    /// Returns the report of the node's subtree.
    pub(crate) fn subtree(&self) -> Report {
        let instance = self.liveness.instance();
        let mut report = Report {
            acknowledgement: Acknowledgement {
                fingerprint: Fingerprint::of(&self.own.process, instance.incarnation),
                held: self.log.held(),
                age_ms: 0,
            },
            lacking: 0,
            laggards: Vec::new(),
        };
        for child in &self.topology.children {
            self.merge_child(&mut report, child);
        }
        for process in &self.topology.dead_successors {
            let health = self.liveness.health(process);
            let since = health.map_or(self.now, |health| health.since);
            report.add_laggard(self.laggard(process, since), self.options.laggards_max);
        }
        report
    }

    fn merge_child(&self, report: &mut Report, child: &Process) {
        let Some(peer) = self.peers.get(child) else {
            return;
        };
        if let Some((child_report, elapsed)) = self.fresh(peer) {
            report.merge(child_report, elapsed, self.options.laggards_max);
        }
        let behind = peer
            .behind_since
            .filter(|since| self.elapsed(*since) >= PUSH_GRACE);
        if let Some(since) = behind {
            report.add_laggard(self.laggard(child, since), self.options.laggards_max);
        }
    }

    fn laggard(&self, process: &Process, since: Instant) -> Laggard {
        let held = self
            .peers
            .get(process)
            .map_or(Sequence(0), |peer| peer.held);
        Laggard {
            place: Place::Process(process.clone()),
            held,
            for_ms: millis(self.elapsed(since)),
        }
    }

    /// Returns the report of `peer`, unless it is too old, and the time since it
    /// was requested.
    fn fresh<'p>(&self, peer: &'p Peer) -> Option<(&'p Report, Duration)> {
        let (report, asked) = peer.report.as_ref()?;
        let elapsed = self.elapsed(*asked);
        let age = elapsed + Duration::from_millis(report.acknowledgement.age_ms);
        (age <= self.options.acknowledgement_max_age).then_some((report, elapsed))
    }

    /// Returns the report of a data centre and the time since it was requested.
    fn data_centre(&self, name: &DataCentre) -> Option<(Report, Duration)> {
        if *name == self.own.data_centre {
            return Some((self.subtree(), Duration::ZERO));
        }
        let (_, heads) = self.topology.heads.iter().find(|(of, _)| of == name)?;
        let mut peers = heads.iter().filter_map(|head| self.peers.get(head));
        let (report, elapsed) = peers.find_map(|peer| self.fresh(peer))?;
        Some((report.clone(), elapsed))
    }

    /// Returns the newest revision that every process on the roster is confirmed
    /// to hold, if this node is a head and can establish one.
    ///
    /// For each data centre, the incarnations that acknowledged must match those
    /// on the roster, and the roster must be complete up to the version at which
    /// the revision was written. Processes that joined later have read it.
    pub(crate) fn in_force(&self) -> Option<Sequence> {
        if !self.topology.is_head() {
            return None;
        }
        let roster = self.journal.roster();
        let mut held = self.log.held();
        for (name, expected) in roster.data_centres() {
            let (report, _) = self.data_centre(name)?;
            if report.acknowledgement.fingerprint != expected {
                return None;
            }
            held = held.min(report.acknowledgement.held);
        }
        // The version of a later revision bounds that of `held`.
        let complete = roster.confirmed() >= self.log.version();
        (complete && !roster.is_empty()).then_some(held)
    }

    /// Returns how many processes lack the newest revision, over all data
    /// centres, and the first of them.
    pub(crate) fn lacking(&self) -> (u32, Vec<Laggard>) {
        let mut total = Report {
            acknowledgement: Acknowledgement {
                fingerprint: Fingerprint::default(),
                held: self.log.held(),
                age_ms: 0,
            },
            lacking: 0,
            laggards: Vec::new(),
        };
        for (name, _) in self.journal.roster().data_centres() {
            match self.data_centre(name) {
                Some((report, elapsed)) => total.merge(&report, elapsed, self.options.laggards_max),
                None => total.add_laggard(
                    self.unresponsive_data_centre(name),
                    self.options.laggards_max,
                ),
            }
        }
        (total.lacking, total.laggards)
    }

    fn unresponsive_data_centre(&self, name: &DataCentre) -> Laggard {
        let found = self.topology.heads.iter().find(|(of, _)| of == name);
        let heads = found.map_or(&[][..], |(_, heads)| heads);
        let peers = || heads.iter().filter_map(|head| self.peers.get(head));
        let idle = peers().map(|peer| peer.idle_time(self.now)).min();
        Laggard {
            place: Place::DataCentre(name.clone()),
            held: peers().map(|peer| peer.held).max().unwrap_or_default(),
            for_ms: millis(idle.unwrap_or_default()),
        }
    }

    fn elapsed(&self, since: Instant) -> Duration {
        self.now.saturating_duration_since(since)
    }
}
