//! Joining the group in a new view.

use cactusnotch_base::clock::Instant;
use cactusnotch_objects::object::Version;

use super::{Command, Member, Open, Phase, Retirement};
use crate::map::Switch;
use crate::message::{Body, Decisions, Peer, Report};
use crate::view::{Rank, View};

/// The rank that starts a generation at once; the others, after a retry time.
const FOUNDER: Rank = Rank(0);

impl Member {
    /// Goes over to `view` if it is newer.
    ///
    /// From then on nothing said in an earlier view counts: neither promises
    /// nor outcomes of proposals made in it, but by a member of this view.
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
            self.ask_reports(out);
        }
    }

    pub(super) fn ask_reports(&self, out: &mut Vec<Command>) {
        let Phase::Joining { reports, .. } = &self.phase else {
            return;
        };
        if self.has_free_seats() || self.knows_nobody_stands() {
            out.push(Command::ReadGroup);
            return;
        }
        for rank in self.others().filter(|rank| !reports.contains(rank)) {
            self.tell(Peer::Rank(rank), Body::Join(self.view.clone()), out);
        }
    }

    fn others(&self) -> impl Iterator<Item = Rank> + use<> {
        let own = self.rank;
        self.view.ranks().filter(move |rank| *rank != own)
    }

    fn has_free_seats(&self) -> bool {
        self.view.seats.iter().any(Option::is_none)
    }

    /// Returns what this member knows, which holds for the whole view.
    fn standing(&self) -> Report {
        let known = match &self.phase {
            Phase::Joining { .. } => self.recovered(),
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

    /// Tells whether the engine has outlived a former agent.
    fn recovered(&self) -> bool {
        self.engine.as_ref().is_some_and(|engine| engine.started)
    }

    pub(super) fn report(&self, to: Rank, out: &mut Vec<Command>) {
        if self.phase != Phase::Recovering {
            self.tell(Peer::Rank(to), Body::Report(self.standing()), out);
        }
    }

    pub(super) fn reported(
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
        self.reconsider(now, out);
    }

    /// Settles what this view inherits, once every rank has reported.
    ///
    /// A switch that any of them knows as committed is committed; if none
    /// does, none was ever in force and no open proposal can be any more.
    pub(super) fn reconsider(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some(standings) = self.standings() else {
            return;
        };
        if standings.is_empty() {
            if self.rank == FOUNDER {
                out.push(Command::ReadGroup);
            }
            return;
        }
        let mut decided: Vec<Switch> = standings.iter().flat_map(Decisions::decided).collect();
        decided.sort_unstable();
        decided.dedup();
        let in_force = standings.iter().map(|standing| standing.current).max();
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
        self.pursue(now, out);
    }

    /// Returns what each standing member knows, if every rank has reported.
    fn standings(&self) -> Option<Vec<Decisions>> {
        let Phase::Joining { reports, .. } = &self.phase else {
            return None;
        };
        if self.has_free_seats() || reports.len() + 1 < self.view.size() {
            return None;
        }
        let own = self.standing();
        let all = reports.values().copied().chain(std::iter::once(own));
        let stands = |report| match report {
            Report::Joining => None,
            Report::Standing(standing) => Some(standing),
        };
        Some(all.filter_map(stands).collect())
    }

    fn knows_nobody_stands(&self) -> bool {
        self.standings()
            .is_some_and(|standings| standings.is_empty())
    }

    /// Starts a new generation from the map on the platform, if the view that
    /// was read is this one, in which no rank has a part in the group.
    pub(super) fn found_generation(
        &mut self,
        version: Version,
        view: &View,
        out: &mut Vec<Command>,
    ) {
        if view.number == self.view.number && self.knows_nobody_stands() {
            if let Phase::Joining { founds, .. } = &mut self.phase {
                *founds = true;
            }
            let view = view.with_generation();
            out.push(Command::WriteGroup { version, view });
        }
    }

    fn begin_generation(&mut self, now: Instant, out: &mut Vec<Command>) {
        let founds = matches!(self.phase, Phase::Joining { founds: true, .. });
        self.previous = None;
        self.current = self.view.base;
        self.open = Open::Nothing;
        self.phase = Phase::Active;
        for rank in self.others().filter(|_| founds) {
            self.tell(Peer::Rank(rank), Body::View(self.view.clone()), out);
        }
        self.pursue(now, out);
    }
}
