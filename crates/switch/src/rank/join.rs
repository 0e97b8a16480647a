//! Joining the group in a new view.

use cactusnotch_base::clock::Instant;
use cactusnotch_objects::object::Version;

use super::{Command, Member, Open, Phase, Retirement};
use crate::map::Switch;
use crate::message::{Body, Decisions, Peer, Report};
use crate::view::{Rank, View};

/// The rank that starts a generation at once; the others wait for a retry interval.
const GENERATION_STARTER: Rank = Rank(0);

impl Member {
    /// Installs `view` if it is newer.
    ///
    /// From then on, promises for proposals of an earlier view are void, and
    /// their outcomes are accepted only from members of this view.
    pub(super) fn install(&mut self, view: &View, now: Instant, out: &mut Vec<Command>) {
        if view.number <= self.view.number || matches!(self.phase, Phase::Enrolling { .. }) {
            return;
        }
        let seat = view.seat(self.rank);
        if seat.is_none_or(|seat| seat.incarnation != self.incarnation) {
            self.retire(Retirement::Replaced, out);
            return;
        }
        let generation = self.view.generation;
        self.view = view.clone();
        self.prepared = None;
        self.wakes = 0;
        if view.generation != generation {
            self.begin_generation(now, out);
        } else if let Phase::Joining { reports, .. } = &mut self.phase {
            *reports = cactusnotch_base::Table::new();
            self.request_reports(out);
        }
    }

    pub(super) fn request_reports(&self, out: &mut Vec<Command>) {
        let Phase::Joining { reports, .. } = &self.phase else {
            return;
        };
        if self.has_free_seats() || self.no_rank_is_active() {
            out.push(Command::ReadGroup);
            return;
        }
        for rank in self.others().filter(|rank| !reports.contains(rank)) {
            self.send(Peer::Rank(rank), Body::Join(self.view.clone()), out);
        }
    }

    fn others(&self) -> impl Iterator<Item = Rank> + use<> {
        let own = self.rank;
        self.view.ranks().filter(move |rank| *rank != own)
    }

    fn has_free_seats(&self) -> bool {
        self.view.seats.iter().any(Option::is_none)
    }

    /// Returns this member's report, which stays valid for the whole view.
    fn own_report(&self) -> Report {
        let known = match &self.phase {
            Phase::Joining { .. } => self.has_surviving_engine(),
            Phase::Active => true,
            _ => false,
        };
        if !known {
            return Report::Joining;
        }
        let committed = match &self.open {
            Open::Committed { switch, .. } => Some(*switch),
            _ => None,
        };
        Report::Standing(Decisions {
            previous: self.previous,
            current: self.current,
            committed,
        })
    }

    /// Returns whether the engine has outlived a former agent.
    fn has_surviving_engine(&self) -> bool {
        self.engine.as_ref().is_some_and(|engine| engine.started)
    }

    pub(super) fn send_report(&self, to: Rank, out: &mut Vec<Command>) {
        if self.phase != Phase::Recovering {
            self.send(Peer::Rank(to), Body::Report(self.own_report()), out);
        }
    }

    pub(super) fn handle_report(
        &mut self,
        from: Rank,
        report: Report,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let Phase::Joining { reports, .. } = &mut self.phase else {
            return;
        };
        reports.insert(from, report);
        self.finish_joining(now, out);
    }

    /// Adopts the decided switches of earlier views, once every rank has reported.
    ///
    /// A switch that any report has as committed is committed. If no report has
    /// one, no open proposal was ever in force, and none can commit any more.
    pub(super) fn finish_joining(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some(decisions) = self.active_reports() else {
            return;
        };
        if decisions.is_empty() {
            if self.rank == GENERATION_STARTER {
                out.push(Command::ReadGroup);
            }
            return;
        }
        let mut decided: Vec<Switch> = decisions.iter().flat_map(Decisions::decided).collect();
        decided.sort_unstable();
        decided.dedup();
        let in_force = decisions.iter().map(|known| known.current).max();
        self.current = in_force.unwrap_or_default();
        let (before, after) = decided.split_at(decided.partition_point(|set| *set < self.current));
        self.previous = before.last().copied();
        self.open = match after.get(1) {
            Some(switch) => Open::Committed {
                id: None,
                switch: *switch,
            },
            None => Open::Nothing,
        };
        self.phase = Phase::Active;
        self.reconcile(now, out);
    }

    /// Returns the decided switches of each active member, once every rank has
    /// reported.
    fn active_reports(&self) -> Option<Vec<Decisions>> {
        let Phase::Joining { reports, .. } = &self.phase else {
            return None;
        };
        if self.has_free_seats() || reports.len() + 1 < self.view.size() {
            return None;
        }
        let own = self.own_report();
        let all = reports.values().copied().chain(std::iter::once(own));
        let decisions_of = |report| match report {
            Report::Joining => None,
            Report::Standing(decisions) => Some(decisions),
        };
        Some(all.filter_map(decisions_of).collect())
    }

    fn no_rank_is_active(&self) -> bool {
        self.active_reports()
            .is_some_and(|decisions| decisions.is_empty())
    }

    /// Starts a new generation from the map on the platform, if the view that
    /// was read is still the current one and no rank in it is active.
    pub(super) fn start_generation(
        &mut self,
        version: Version,
        view: &View,
        out: &mut Vec<Command>,
    ) {
        if view.number == self.view.number && self.no_rank_is_active() {
            if let Phase::Joining {
                starts_generation, ..
            } = &mut self.phase
            {
                *starts_generation = true;
            }
            let view = view.with_generation();
            out.push(Command::WriteGroup { version, view });
        }
    }

    fn begin_generation(&mut self, now: Instant, out: &mut Vec<Command>) {
        let starts_generation = matches!(
            self.phase,
            Phase::Joining {
                starts_generation: true,
                ..
            }
        );
        self.previous = None;
        self.current = self.view.base;
        self.open = Open::Nothing;
        self.phase = Phase::Active;
        for rank in self.others().filter(|_| starts_generation) {
            self.send(Peer::Rank(rank), Body::View(self.view.clone()), out);
        }
        self.reconcile(now, out);
    }
}
