//! Decides which parts of prompts have caused crashes.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;

use super::suspect::{self, Suspect};
use super::{ANSWERED_TIME, Crash};
use crate::content::Fingerprint;

/// Which parts of prompts explain the crashes that are known.
pub(super) struct Judgement<'a> {
    rows: &'a Table<Fingerprint, Suspect>,
    answered: &'a Table<Fingerprint, Instant>,
    now: Instant,
    /// Endpoints whose crashes have a known cause.
    explained: Vec<&'a str>,
}

impl<'a> Judgement<'a> {
    /// Begins a judgement with the quarantined suspects as causes.
    pub(super) fn new(
        rows: &'a Table<Fingerprint, Suspect>,
        answered: &'a Table<Fingerprint, Instant>,
        now: Instant,
    ) -> Self {
        let mut judgement = Self {
            rows,
            answered,
            now,
            explained: Vec::new(),
        };
        let is_cause = |(fingerprint, row): &(&Fingerprint, &Suspect)| {
            row.is_held()
                && row.provisional_since.is_none()
                && !row.is_judged_content()
                && !judgement.is_outdone(**fingerprint, row)
        };
        let causes: Vec<_> = rows.iter().filter(is_cause).collect();
        for (_, row) in causes {
            judgement.explain(row);
        }
        judgement
    }

    /// Returns the quarantined parts whose crashes another part explains better.
    pub(super) fn outdone(&self) -> Vec<Fingerprint> {
        let rows = self.rows.iter();
        let outdone = rows.filter(|(fingerprint, row)| {
            row.is_held() && row.is_judged_part() && self.is_outdone(**fingerprint, row)
        });
        outdone.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns the parts that alone explain several crashes without another cause. The crashes of
    /// those found first don't count for others.
    pub(super) fn guilty(mut self) -> Vec<Fingerprint> {
        let mut guilty = Vec::new();
        loop {
            let found: Vec<_> = self
                .candidates()
                .filter(|(fingerprint, row)| self.is_best(**fingerprint, row))
                .collect();
            if found.is_empty() {
                return guilty;
            }
            for (fingerprint, row) in found {
                guilty.push(*fingerprint);
                self.explain(row);
            }
        }
    }

    /// Returns whether another part explains all crashes of a part and further ones.
    fn is_outdone(&self, fingerprint: Fingerprint, row: &Suspect) -> bool {
        let mut others = self.others(fingerprint);
        others.any(|other| {
            let covers = |one: &Suspect, other: &Suspect| {
                let mut crashes = one.crashes().iter();
                crashes.all(|crash| other.has_crash(&crash.endpoint))
            };
            row.is_judged_part() && covers(row, other) && !covers(other, row)
        })
    }

    /// Returns the parts that occurred without this one and may have caused its crashes. A part
    /// that was answered lately is no alternative to one that wasn't: many requests share it,
    /// so that some of them run wherever an endpoint crashes.
    fn others(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &'a Suspect> {
        let was_answered = self.was_answered(fingerprint);
        let rows = self.rows.iter();
        rows.filter(move |(other_fingerprint, other)| {
            **other_fingerprint != fingerprint
                && other.is_judged_part()
                && !other.always_with(fingerprint)
                && (was_answered || !self.was_answered(**other_fingerprint))
        })
        .map(|(_, other)| other)
    }

    /// Returns whether a part was answered lately.
    fn was_answered(&self, part: Fingerprint) -> bool {
        let at = self.answered.get(&part);
        at.is_some_and(|at| self.now.saturating_duration_since(*at) < ANSWERED_TIME)
    }

    /// Returns the parts with enough crashes that have no known cause.
    fn candidates(&self) -> impl Iterator<Item = (&'a Fingerprint, &'a Suspect)> {
        let rows = self.rows.iter();
        rows.filter(|(fingerprint, row)| {
            row.is_judged_part()
                && (!row.is_held() || row.provisional_since.is_some())
                && row.is_shared()
                && suspect::are_enough_for_part(
                    self.open_crashes(row),
                    self.was_answered(**fingerprint),
                )
        })
    }

    /// Returns whether no other part explains the crashes of a part as well.
    fn is_best(&self, fingerprint: Fingerprint, row: &Suspect) -> bool {
        let mut others = self.others(fingerprint);
        !others.any(|other| {
            let mut crashes = self.open_crashes(row);
            crashes.all(|crash| other.has_crash(&crash.endpoint))
        })
    }

    /// Returns the crashes of a suspect that have no known cause.
    fn open_crashes<'s>(&'s self, row: &'s Suspect) -> impl Iterator<Item = &'s Crash> {
        let crashes = row.crashes().iter();
        crashes.filter(|crash| !self.explained.contains(&crash.endpoint.as_str()))
    }

    fn explain(&mut self, row: &'a Suspect) {
        let crashes = row.crashes().iter();
        self.explained
            .extend(crashes.map(|crash| crash.endpoint.as_str()));
    }
}
