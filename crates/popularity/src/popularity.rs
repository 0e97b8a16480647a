//! The estimates of a group.

use cactusnotch_base::number::Step;
use derive_more::{Display, Error};

use crate::cell::Row;
use crate::decay::Decay;
use crate::estimate::Estimate;
use crate::options::Options;
use crate::rank::Rank;
use crate::report::{Count, Report};
use crate::shape::{Cell, Shape};
use crate::source::Source;

/// The part of the mean rate of a layer below which an expert is cold.
const COLD: f64 = 0.25;
/// The least speed of a rank, as a part of the median speed.
const SLOWEST: f64 = 0.05;

/// Why a report was not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The report was seen before, is too old to tell, or is from a former
    /// life of the rank.
    #[display("report {} of rank {rank} was seen before or is too old", sequence.0)]
    Stale {
        /// The rank.
        rank: Rank,
        /// The number of the report.
        sequence: cactusnotch_base::number::Sequence,
    },
    /// The group has no such rank.
    #[display("a report names rank {rank}, which the group has not")]
    Rank {
        /// The rank.
        rank: Rank,
    },
    /// The model has no such expert.
    #[display("a report of rank {rank} names {cell}, which the model has not")]
    Cell {
        /// The rank.
        rank: Rank,
        /// The expert.
        cell: Cell,
    },
    /// The report covers no step.
    #[display("a report of rank {rank} covers no step")]
    Empty {
        /// The rank.
        rank: Rank,
    },
}

/// The estimates of a group. Its memory is fixed when it is created: one row
/// for each expert of each layer and one for each rank.
#[derive(Debug, Clone)]
pub struct Popularity {
    options: Options,
    shape: Shape,
    quick: Decay,
    fast: Decay,
    slow: Decay,
    rows: Vec<Row>,
    sources: Vec<Source>,
    now: Step,
}

impl Popularity {
    /// Creates the estimates for a model of `shape` on `ranks` ranks.
    #[must_use]
    pub fn new(shape: Shape, ranks: u16, options: Options) -> Self {
        Self {
            options,
            shape,
            quick: Decay::new(options.quick),
            fast: Decay::new(options.fast),
            slow: Decay::new(options.slow),
            rows: vec![Row::default(); shape.cells()],
            sources: vec![Source::default(); usize::from(ranks)],
            now: Step(0),
        }
    }

    /// Returns the newest step that a report has covered.
    #[must_use]
    pub const fn now(&self) -> Step {
        self.now
    }

    /// Adds a report, which may be late, and may have come before.
    ///
    /// # Errors
    ///
    /// Returns why the report was not counted; then nothing has changed.
    pub fn observe(&mut self, report: &Report) -> Result<(), Error> {
        self.check(report)?;
        let rank = report.rank;
        let source = &mut self.sources[rank.index()];
        if !source.admit(report) {
            let sequence = report.sequence;
            return Err(Error::Stale { rank, sequence });
        }
        let fixed = self.options.fixed * report.steps;
        let busy = report.busy.saturating_sub(fixed);
        source.speed.observe(report.tokens(), busy);
        self.advance(report.end());
        self.add(report);
        Ok(())
    }

    fn check(&self, report: &Report) -> Result<(), Error> {
        let rank = report.rank;
        if rank.index() >= self.sources.len() {
            return Err(Error::Rank { rank });
        }
        if report.steps == 0 {
            return Err(Error::Empty { rank });
        }
        let outside = |count: &&Count| self.shape.index(count.cell).is_none();
        match report.counts.iter().find(outside) {
            Some(&Count { cell, .. }) => Err(Error::Cell { rank, cell }),
            None => Ok(()),
        }
    }

    fn advance(&mut self, step: Step) {
        self.now = self.now.max(step);
        if let Some(factor) = self.quick.rebase(self.now.0) {
            self.rows.iter_mut().for_each(|row| row.quick.scale(factor));
        }
        if let Some(factor) = self.fast.rebase(self.now.0) {
            self.rows.iter_mut().for_each(|row| row.fast.scale(factor));
        }
        if let Some(factor) = self.slow.rebase(self.now.0) {
            self.rows.iter_mut().for_each(|row| row.slow.scale(factor));
        }
    }

    fn add(&mut self, report: &Report) {
        let middle = report.first.0 + u64::from(report.steps / 2);
        let quick = self.quick.weight(middle);
        let (fast, slow) = (self.fast.weight(middle), self.slow.weight(middle));
        for count in &report.counts {
            let Some(at) = self.shape.index(count.cell) else {
                continue;
            };
            let tokens = f64::from(count.tokens);
            let exposure = f64::from(report.steps) * count.share.fraction();
            let row = &mut self.rows[at];
            row.learn(tokens, exposure);
            row.quick.add(quick, tokens, exposure);
            row.fast.add(fast, tokens, exposure);
            row.slow.add(slow, tokens, exposure);
        }
    }

    /// Runs over all experts and notes where a burst begins or ends. It is to
    /// be called about once a second.
    pub fn update_bursts(&mut self) {
        for layer in 0..self.shape.layers {
            let least = COLD * self.mean(layer);
            for at in self.shape.layer(layer) {
                if let Some(estimate) = self.estimate(at) {
                    self.rows[at].judge(&estimate, least, &self.options, self.now);
                }
            }
        }
    }

    /// Returns the estimated rate of an expert, or `None` if nothing has been
    /// counted of it.
    #[must_use]
    pub fn rate(&self, cell: Cell) -> Option<Estimate> {
        self.estimate(self.shape.index(cell)?)
    }

    fn estimate(&self, at: usize) -> Option<Estimate> {
        let fast = self.fast.weight(self.now.0);
        let slow = self.slow.weight(self.now.0);
        self.rows[at].estimate(fast, slow, &self.options)
    }

    /// Returns the mean rate of the counted experts of `layer`, in tokens per
    /// step.
    #[must_use]
    pub fn mean(&self, layer: u16) -> f64 {
        let rows = &self.rows[self.shape.layer(layer)];
        let rates = || rows.iter().filter_map(|row| row.fast.rate());
        let count = u32::try_from(rates().count()).unwrap_or(u32::MAX);
        rates().sum::<f64>() / f64::from(count.max(1))
    }

    /// Returns the speed of each rank in tokens per second of its busy time.
    /// A rank that has reported none is taken to have the median speed, or a
    /// speed of one if no rank has reported any.
    #[must_use]
    pub fn speeds(&self) -> Vec<f64> {
        let measured: Vec<_> = self.sources.iter().map(|s| s.speed.median()).collect();
        let mut sorted: Vec<_> = measured.iter().flatten().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(1.0);
        measured
            .iter()
            .map(|speed| speed.unwrap_or(median).max(SLOWEST * median))
            .collect()
    }
}
