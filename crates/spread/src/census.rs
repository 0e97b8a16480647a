//! Who holds what, as one node can prove it.

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
use crate::report::{Evidence, Laggard, Place, Report, millis};
use crate::structure::Structure;

/// How long a child may lack a revision before it is named: pushes are on
/// their way for that long.
const GRACE: Duration = Duration::from_secs(1);

/// What a node knows when it counts.
pub(crate) struct Census<'a> {
    pub(crate) own: &'a Record,
    pub(crate) options: &'a Options,
    pub(crate) log: &'a Log,
    pub(crate) journal: &'a Journal,
    pub(crate) liveness: &'a Liveness,
    pub(crate) structure: &'a Structure,
    pub(crate) peers: &'a Table<Process, Peer>,
    pub(crate) now: Instant,
}

impl Census<'_> {
    /// Returns what the node's subtree holds and lacks.
    pub(crate) fn subtree(&self) -> Report {
        let life = self.liveness.life();
        let mut report = Report {
            evidence: Evidence {
                lives: Fingerprint::of(&self.own.process, life.incarnation),
                held: self.log.held(),
                age_ms: 0,
            },
            lacking: 0,
            laggards: Vec::new(),
        };
        for child in &self.structure.children {
            self.join_child(&mut report, child);
        }
        for process in &self.structure.adopted {
            let health = self.liveness.health(process);
            let since = health.map_or(self.now, |health| health.since);
            report.lack(self.laggard(process, since), self.options.named);
        }
        report
    }

    fn join_child(&self, report: &mut Report, child: &Process) {
        let Some(peer) = self.peers.get(child) else {
            return;
        };
        if let Some((sub, elapsed)) = self.fresh(peer) {
            report.join(sub, elapsed, self.options.named);
        }
        let behind = peer.behind.filter(|since| self.elapsed(*since) >= GRACE);
        if let Some(since) = behind {
            report.lack(self.laggard(child, since), self.options.named);
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

    /// Returns the report of `peer`, unless it is too old, and how long ago it
    /// was asked for.
    fn fresh<'p>(&self, peer: &'p Peer) -> Option<(&'p Report, Duration)> {
        let (report, asked) = peer.report.as_ref()?;
        let elapsed = self.elapsed(*asked);
        let age = elapsed + Duration::from_millis(report.evidence.age_ms);
        (age <= self.options.evidence).then_some((report, elapsed))
    }

    /// Returns the report of a data centre and how long ago it was asked for.
    fn data_centre(&self, name: &DataCentre) -> Option<(Report, Duration)> {
        if *name == self.own.data_centre {
            return Some((self.subtree(), Duration::ZERO));
        }
        let (_, heads) = self.structure.heads.iter().find(|(of, _)| of == name)?;
        let mut peers = heads.iter().filter_map(|head| self.peers.get(head));
        let (report, elapsed) = peers.find_map(|peer| self.fresh(peer))?;
        Some((report.clone(), elapsed))
    }

    /// Returns the newest revision that every process on the roster holds, if
    /// the head can prove one.
    ///
    /// For each data centre the lives that acknowledged have to be the lives
    /// on the roster, and the roster has to be known up to the version at
    /// which the revision was written: whoever joined later has read it.
    pub(crate) fn in_force(&self) -> Option<Sequence> {
        if !self.structure.is_head() {
            return None;
        }
        let roster = self.journal.roster();
        let mut held = self.log.held();
        for (name, lives) in roster.data_centres() {
            let (report, _) = self.data_centre(name)?;
            if report.evidence.lives != lives {
                return None;
            }
            held = held.min(report.evidence.held);
        }
        // The version of a later revision bounds that of `held`.
        let complete = roster.confirmed() >= self.log.version();
        (complete && !roster.is_empty()).then_some(held)
    }

    /// Returns how many lack the newest revision, over all data centres, and
    /// the first of them.
    pub(crate) fn lacking(&self) -> (u32, Vec<Laggard>) {
        let mut total = Report {
            evidence: Evidence {
                lives: Fingerprint::default(),
                held: self.log.held(),
                age_ms: 0,
            },
            lacking: 0,
            laggards: Vec::new(),
        };
        for (name, _) in self.journal.roster().data_centres() {
            match self.data_centre(name) {
                Some((report, elapsed)) => total.join(&report, elapsed, self.options.named),
                None => total.lack(self.silent(name), self.options.named),
            }
        }
        (total.lacking, total.laggards)
    }

    fn silent(&self, name: &DataCentre) -> Laggard {
        let found = self.structure.heads.iter().find(|(of, _)| of == name);
        let heads = found.map_or(&[][..], |(_, heads)| heads);
        let peers = || heads.iter().filter_map(|head| self.peers.get(head));
        let silence = peers().map(|peer| peer.silence(self.now)).min();
        Laggard {
            place: Place::DataCentre(name.clone()),
            held: peers().map(|peer| peer.held).max().unwrap_or_default(),
            for_ms: millis(silence.unwrap_or_default()),
        }
    }

    fn elapsed(&self, since: Instant) -> Duration {
        self.now.saturating_duration_since(since)
    }
}
