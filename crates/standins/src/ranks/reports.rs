//! The reports of a rank's token counts: late, and some of them lost.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_placement::{Cell, Count, Map, Rank, Report};
use cactusnotch_switch::map::Map as Name;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The number of reports that are kept for callers.
const KEPT: usize = 1024;

/// How late reports are told, and how many get lost.
#[derive(Debug, Clone)]
pub struct Reporting {
    /// The largest number of steps that one report spans.
    pub span: u32,
    /// The age from which a report is told.
    pub lag: Duration,
    /// The probability that a report is lost.
    pub loss: f64,
}

impl Default for Reporting {
    fn default() -> Self {
        Self {
            span: 8,
            lag: Duration::from_millis(50),
            loss: 0.02,
        }
    }
}

/// The reports of one life of a rank.
#[derive(Debug)]
pub(crate) struct Reports {
    options: Reporting,
    open: Option<(Name, Report)>,
    next: Sequence,
    told: Vec<(Instant, Report)>,
    random: StdRng,
}

/// What a rank did in one step.
pub(crate) struct Share<'a> {
    pub(crate) rank: Rank,
    pub(crate) life: Incarnation,
    pub(crate) step: Step,
    pub(crate) name: Name,
    pub(crate) map: &'a Map,
    pub(crate) counts: &'a [u32],
    pub(crate) busy: Duration,
}

impl Reports {
    pub(crate) fn new(options: &Reporting, seed: u64) -> Self {
        Self {
            options: options.clone(),
            open: None,
            next: Sequence(1),
            told: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds one step's counts to the open report, and closes it when it spans
    /// enough steps. A report never spans two maps.
    pub(crate) fn add(&mut self, share: &Share<'_>, now: Instant) {
        if self
            .open
            .as_ref()
            .is_some_and(|(name, _)| *name != share.name)
        {
            self.close(now);
        }
        let (name, mut report) = self.open.take().unwrap_or_else(|| self.begin(share));
        report.steps += 1;
        report.busy += share.busy;
        for count in &mut report.counts {
            count.tokens += tokens(share, count);
        }
        let full = report.steps >= self.options.span;
        self.open = Some((name, report));
        if full {
            self.close(now);
        }
    }

    fn begin(&self, share: &Share<'_>) -> (Name, Report) {
        let counts = share.map.cells().flat_map(|(cell, row)| {
            let own = row.iter().filter(|replica| replica.rank == share.rank);
            own.map(move |replica| Count {
                cell,
                share: replica.share,
                tokens: 0,
            })
        });
        let report = Report {
            rank: share.rank,
            incarnation: share.life,
            sequence: self.next,
            first: share.step,
            steps: 0,
            busy: Duration::ZERO,
            counts: counts.collect(),
        };
        (share.name, report)
    }

    fn close(&mut self, now: Instant) {
        let Some((_, report)) = self.open.take() else {
            return;
        };
        self.next = self.next.next();
        if self.random.random_bool(self.options.loss) {
            return;
        }
        if self.told.len() == KEPT {
            self.told.remove(0);
        }
        self.told.push((now, report));
    }

    /// Returns the reports after `after` that are old enough.
    pub(crate) fn read(&self, after: Sequence, now: Instant) -> Vec<Report> {
        self.told
            .iter()
            .filter(|(at, _)| now.duration_since(*at) >= self.options.lag)
            .map(|(_, report)| report)
            .filter(|report| report.sequence > after)
            .cloned()
            .collect()
    }
}

fn tokens(share: &Share<'_>, count: &Count) -> u32 {
    replica_tokens(share.map, share.counts, count.cell, count.share)
}

/// Returns the tokens of one replica: its share of the expert's.
pub(crate) fn replica_tokens(
    map: &Map,
    counts: &[u32],
    cell: Cell,
    share: cactusnotch_placement::Share,
) -> u32 {
    let tokens = map.shape().index(cell).map_or(0, |at| counts[at]);
    let whole = u64::from(cactusnotch_placement::Share::WHOLE.0);
    let part = u64::from(tokens) * u64::from(share.0) / whole;
    u32::try_from(part).unwrap_or(u32::MAX)
}
