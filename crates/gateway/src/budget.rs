//! How many repeated sends an entry may make.

use std::collections::VecDeque;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;

/// The parts into which the window is divided.
const PARTS: u32 = 10;

/// The sends of one service within the window.
#[derive(Debug, Default)]
struct Window {
    /// The start of each part with its first and its repeated sends.
    parts: VecDeque<(Instant, u32, u32)>,
}

impl Window {
    /// Drops the parts that are too old and opens a new one if it is time.
    fn rotate(&mut self, now: Instant, window: Duration) {
        let length = window / PARTS;
        let age = |at: Instant| now.saturating_duration_since(at);
        while self
            .parts
            .front()
            .is_some_and(|&(at, ..)| age(at) > window + length)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|&(at, ..)| age(at) >= length) {
            self.parts.push_back((now, 0, 0));
        }
    }

    /// Returns the first sends that were surely within the window, and the
    /// repeated ones that may have been.
    fn sums(&self, now: Instant, window: Duration) -> (u32, u32) {
        let within = |at: Instant| now.saturating_duration_since(at) <= window;
        self.parts
            .iter()
            .fold((0, 0), |(first, again), &(at, new, repeated)| {
                (first + if within(at) { new } else { 0 }, again + repeated)
            })
    }
}

/// The repeated sends of an entry, by service.
///
/// In any window an entry repeats at most `ratio` times the requests that it
/// took itself in that window, so that the bound holds over all entries
/// together however many there are and whatever they know of each other. The
/// fixed allowance beyond that is divided by twice the entries that are known.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    /// What may be repeated in a window beyond the ratio.
    allowance: u32,
    window: Duration,
    rows: Table<String, Window>,
}

impl RetryBudgets {
    /// Creates a budget of `ratio` repeated sends for each request in `window`.
    #[must_use]
    pub const fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            allowance: 0,
            window,
            rows: Table::new(),
        }
    }

    /// Takes another bound.
    pub const fn configure(&mut self, ratio: f64, window: Duration) {
        self.ratio = ratio;
        self.window = window;
    }

    /// Takes the part of the allowance of all entries that is this entry's.
    pub const fn set_allowance(&mut self, allowance: u32) {
        self.allowance = allowance;
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let row = self.row(service, now);
        if let Some((_, first, _)) = row.parts.back_mut() {
            *first += 1;
        }
    }

    /// Tells whether a repeated send could be paid for now.
    pub fn can_retry(&mut self, service: &str, now: Instant) -> bool {
        let (ratio, window) = (self.ratio, self.window);
        let allowance = f64::from(self.allowance);
        let (first, again) = self.row(service, now).sums(now, window);
        f64::from(again + 1) <= ratio * f64::from(first) + allowance
    }

    /// Pays for a repeated send; returns whether there was enough.
    pub fn try_spend(&mut self, service: &str, now: Instant) -> bool {
        if !self.can_retry(service, now) {
            return false;
        }
        if let Some((_, _, again)) = self.row(service, now).parts.back_mut() {
            *again += 1;
        }
        true
    }

    fn row(&mut self, service: &str, now: Instant) -> &mut Window {
        let window = self.window;
        let row = self
            .rows
            .get_or_insert_with(service.to_owned(), Window::default);
        row.rotate(now, window);
        row
    }
}
