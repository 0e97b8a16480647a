//! Estimates the work that each expert currently gets.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The time after which a count has decayed by half while demand only drifts. A
/// demand shift is detected separately, which allows a half-life long enough to
/// smooth out noise.
const HALF_LIFE: Duration = Duration::from_millis(800);
/// The time over which the latest choices are collected before they are
/// compared with former ones: each rank reports once within it.
const WINDOW: Duration = Duration::from_millis(120);
/// The distance between the latest choices and former ones that shows a demand
/// shift, where 0 is the same popularity and 1 nothing in common. In simulated
/// days, windows of one demand were 0.01 (32 ranks) to 0.05 (8 ranks) apart,
/// and 0.2 to 0.5 after a shift.
const SHIFT_MIN: f64 = 0.06;
/// The same as a multiple of the usual distance, since small groups have noisy
/// windows.
const SHIFT_FACTOR: f64 = 4.0;
/// The weight of a window in the moving mean of the usual distance.
const USUAL_WEIGHT: f64 = 0.2;
/// The same for a window that shows a shift: small, since shifts are rare, but
/// enough to adapt to a group whose windows are all noisy.
const USUAL_WEIGHT_SHIFTED: f64 = 0.05;
/// The choices that must be left of an estimate after a break. An estimate of 200,000 choices
/// lasts for 14 s.
const LEFT_MIN: f64 = 1.0;

/// The current popularity of each expert of a group.
///
/// Counts decay slowly while demand drifts. Once the latest differ from the
/// former ones by far more than usual, demand has shifted and the former ones
/// are dropped.
#[derive(Debug, Clone)]
pub struct Estimate {
    experts: usize,
    weights: Vec<f64>,
    decayed_at: Option<Instant>,
    total: f64,
    /// The choices since the window was opened, which `weights` includes.
    latest: Vec<f64>,
    opened: Option<Instant>,
    /// The usual distance of a window from former choices.
    usual: f64,
}

impl Estimate {
    /// Creates an empty estimate of `sets` sets of `experts` experts.
    #[must_use]
    pub fn new(sets: usize, experts: usize) -> Self {
        Self {
            experts,
            weights: vec![0.0; sets * experts],
            decayed_at: None,
            total: 0.0,
            latest: vec![0.0; sets * experts],
            opened: None,
            usual: 0.0,
        }
    }

    /// Adds the choices of one rank; returns whether they show a demand shift.
    pub fn add(&mut self, units: &[f32], counts: &[u8], now: Instant) -> bool {
        self.decay(now);
        let unit_of = |at: usize| units.get(at / self.experts).copied().unwrap_or(0.0);
        let rows = self.weights.iter_mut().zip(&mut self.latest);
        for (at, ((weight, latest), &count)) in rows.zip(counts).enumerate() {
            let choices = f64::from(unit_of(at)) * f64::from(count);
            *weight += choices;
            *latest += choices;
            self.total += choices;
        }
        let opened = *self.opened.get_or_insert(now);
        if now.saturating_duration_since(opened) < WINDOW {
            return false;
        }
        self.opened = Some(now);
        self.close_window()
    }

    /// Compares the latest choices with former ones, which are dropped if
    /// demand has shifted; returns whether it has.
    fn close_window(&mut self) -> bool {
        let distance = distance(&self.latest, &self.weights);
        let most = SHIFT_MIN.max(self.usual * SHIFT_FACTOR);
        let shifted = distance > most;
        if shifted {
            self.weights.clone_from(&self.latest);
            self.total = self.latest.iter().sum();
            self.usual += USUAL_WEIGHT_SHIFTED * (most - self.usual);
        } else {
            self.usual += USUAL_WEIGHT * (distance - self.usual);
        }
        self.latest.fill(0.0);
        shifted
    }

    fn decay(&mut self, now: Instant) {
        let Some(at) = self.decayed_at.replace(now) else {
            return;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.total *= factor;
    }

    /// Returns the estimate after a break in which no choices were counted, aged by its
    /// half-life but with a weight of at least `least` choices; `None` if hardly any are
    /// left of it.
    #[must_use]
    pub fn resume(mut self, least: f64, now: Instant) -> Option<Self> {
        self.decay(now);
        if self.total < LEFT_MIN {
            return None;
        }
        let factor = (least / self.total).max(1.0);
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        // A product could be less than `least` by an error of rounding.
        self.total = self.total.max(least);
        self.latest.fill(0.0);
        self.opened = None;
        Some(self)
    }

    /// Returns whether the estimate is of as many sets and experts as `other`.
    #[must_use]
    pub const fn has_shape_of(&self, other: &Self) -> bool {
        self.experts == other.experts && self.weights.len() == other.weights.len()
    }

    /// Returns the decayed choices of all experts together.
    #[must_use]
    pub const fn total(&self) -> f64 {
        self.total
    }

    /// Returns the weights of one set's experts.
    #[must_use]
    pub fn set(&self, set: usize) -> &[f64] {
        &self.weights[set * self.experts..(set + 1) * self.experts]
    }
}

/// Returns the distance between the popularity in `latest` and that in the rest
/// of `all`, from 0 to 1; 0 if either is empty.
fn distance(latest: &[f64], all: &[f64]) -> f64 {
    let (mut product, mut latest_square, mut former_square) = (0.0, 0.0, 0.0);
    for (&latest, &all) in latest.iter().zip(all) {
        let former = (all - latest).max(0.0);
        product += latest * former;
        latest_square += latest * latest;
        former_square += former * former;
    }
    let length = f64::sqrt(latest_square * former_square);
    if length > 0.0 {
        1.0 - product / length
    } else {
        0.0
    }
}

/// Encodes counts as bytes: for each set the unit, and each expert's count in
/// that unit. The precision is 1/255 of the count of the most chosen expert of
/// the set.
#[must_use]
pub fn pack(counts: &[u64], experts: usize) -> (Vec<f32>, Vec<u8>) {
    let mut units = Vec::with_capacity(counts.len() / experts.max(1));
    let mut bytes = Vec::with_capacity(counts.len());
    for set in counts.chunks(experts.max(1)) {
        let most = set.iter().copied().max().unwrap_or(0);
        let unit = float(most) / f64::from(u8::MAX);
        units.push(narrow(unit));
        bytes.extend(set.iter().map(|&count| byte(float(count), unit)));
    }
    (units, bytes)
}

/// Converts a count between two messages, which stays far below 2^32.
fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a unit needs no more than a float's precision"
)]
const fn narrow(unit: f64) -> f32 {
    unit as f32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the quotient lies between 0 and 255"
)]
fn byte(count: f64, unit: f64) -> u8 {
    if unit > 0.0 {
        (count / unit).round() as u8
    } else {
        0
    }
}
