//! The popularity and speed estimates of a group.

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

/// The fraction of a layer's mean rate below which an expert is rarely used.
const MIN_RATE_RATIO: f64 = 0.25;
/// The minimum speed of a rank, as a fraction of the median speed.
const MIN_SPEED_RATIO: f64 = 0.05;

/// Why a report was not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The report is a duplicate, too old to be checked for duplicates, or from
    /// an earlier incarnation of the rank.
    #[display("report {} of rank {rank} is a duplicate or too old", sequence.0)]
    Stale {
        /// The rank.
        rank: Rank,
        /// The number of the report.
        sequence: cactusnotch_base::number::Sequence,
    },
    /// The group has no such rank.
    #[display("a report names rank {rank}, which is not in the group")]
    Rank {
        /// The rank.
        rank: Rank,
    },
    /// The model has no such expert.
    #[display("a report of rank {rank} names {cell}, which is not in the model")]
    Cell {
        /// The rank.
        rank: Rank,
        /// The expert.
        cell: Cell,
    },
    /// The report covers no steps.
    #[display("a report of rank {rank} covers no steps")]
    Empty {
        /// The rank.
        rank: Rank,
    },
}

/// The popularity and speed estimates of a group.
///
/// The memory is fixed at creation: one row for each expert of each layer and
/// one for each rank.
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
    /// Creates empty estimates for a model of `shape` on `ranks` ranks.
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

    /// Returns the newest step that any report has covered.
    #[must_use]
    pub const fn now(&self) -> Step {
        self.now
    }

    /// Adds a report, which may be delayed or a duplicate.
    ///
    /// # Errors
    ///
    /// Returns an error if the report was not counted; the estimates are then
    /// unchanged.
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
            let Some(index) = self.shape.index(count.cell) else {
                continue;
            };
            let tokens = f64::from(count.tokens);
            let exposure = f64::from(report.steps) * count.share.fraction();
            let row = &mut self.rows[index];
            row.update_dispersion(tokens, exposure);
            row.quick.add(quick, tokens, exposure);
            row.fast.add(fast, tokens, exposure);
            row.slow.add(slow, tokens, exposure);
        }
    }

    /// Updates for all experts whether they are in a burst. Call it about once a
    /// second.
    pub fn update_bursts(&mut self) {
        for layer in 0..self.shape.layers {
            let min_rate = MIN_RATE_RATIO * self.mean(layer);
            for index in self.shape.layer(layer) {
                if let Some(estimate) = self.estimate(index) {
                    self.rows[index].update_burst(&estimate, min_rate, &self.options, self.now);
                }
            }
        }
    }

    /// Returns the estimated rate of an expert, or `None` if it has no counts.
    #[must_use]
    pub fn rate(&self, cell: Cell) -> Option<Estimate> {
        self.estimate(self.shape.index(cell)?)
    }

    fn estimate(&self, index: usize) -> Option<Estimate> {
        let fast = self.fast.weight(self.now.0);
        let slow = self.slow.weight(self.now.0);
        self.rows[index].estimate(fast, slow, &self.options)
    }

    /// Returns the mean rate of the experts of `layer` that have counts, in tokens
    /// per step.
    #[must_use]
    pub fn mean(&self, layer: u16) -> f64 {
        let rows = &self.rows[self.shape.layer(layer)];
        let rates = || rows.iter().filter_map(|row| row.fast.rate());
        let count = u32::try_from(rates().count()).unwrap_or(u32::MAX);
        rates().sum::<f64>() / f64::from(count.max(1))
    }

    /// Returns the speed of each rank in tokens per second of busy time.
    ///
    /// A rank without samples is assigned the median speed, or a speed of one
    /// if no rank has samples.
    #[must_use]
    pub fn speeds(&self) -> Vec<f64> {
        let measured: Vec<_> = self.sources.iter().map(|s| s.speed.median()).collect();
        let mut sorted: Vec<_> = measured.iter().flatten().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(1.0);
        measured
            .iter()
            .map(|speed| speed.unwrap_or(median).max(MIN_SPEED_RATIO * median))
            .collect()
    }
}
