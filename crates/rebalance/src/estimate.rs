//! How much work each expert gets now.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The time after which half of a count is forgotten while demand only drifts.
/// A turn is noticed by itself, so that this may be long enough for noise to
/// stay small.
const HALF_LIFE: Duration = Duration::from_millis(800);
/// The time over which the latest choices are gathered before they are compared
/// with former ones: each rank reports once within it.
const WINDOW: Duration = Duration::from_millis(120);
/// Demand has turned if the latest choices are this far from former ones, where
/// 0 is the same popularity and 1 nothing in common. On played days windows of
/// one demand were 0.01 (32 ranks) to 0.05 (8 ranks) apart, and 0.2 to 0.5
/// where it had turned.
const TURN_MIN: f64 = 0.06;
/// The same as a multiple of the usual distance, since small groups have noisy
/// windows.
const TURN_FACTOR: f64 = 4.0;
/// What a window adds to the usual distance.
const USUAL_PART: f64 = 0.2;
/// The same of a window that shows a turn: little, since turns are rare, but
/// enough for a group whose windows are all noisy to be known as such.
const USUAL_PART_TURNED: f64 = 0.05;

/// How popular each expert of a group is now.
///
/// Counts fade slowly while demand drifts. Once the latest differ from the
/// former ones by far more than usual, demand has turned and the former are
/// dropped.
#[derive(Debug, Clone)]
pub struct Estimate {
    experts: usize,
    weights: Vec<f64>,
    at: Option<Instant>,
    heard: f64,
    /// The choices since the window was opened, which `weights` holds too.
    latest: Vec<f64>,
    opened: Option<Instant>,
    /// The usual distance of a window from former choices.
    usual: f64,
}

impl Estimate {
    /// Creates the estimate of `sets` sets of `experts` experts of which
    /// nothing is known.
    #[must_use]
    pub fn new(sets: usize, experts: usize) -> Self {
        Self {
            experts,
            weights: vec![0.0; sets * experts],
            at: None,
            heard: 0.0,
            latest: vec![0.0; sets * experts],
            opened: None,
            usual: 0.0,
        }
    }

    /// Adds the choices of one rank; returns whether they show that demand has
    /// turned.
    pub fn add(&mut self, units: &[f32], counts: &[u8], now: Instant) -> bool {
        self.decay(now);
        let unit_of = |at: usize| units.get(at / self.experts).copied().unwrap_or(0.0);
        let rows = self.weights.iter_mut().zip(&mut self.latest);
        for (at, ((weight, latest), &count)) in rows.zip(counts).enumerate() {
            let choices = f64::from(unit_of(at)) * f64::from(count);
            *weight += choices;
            *latest += choices;
            self.heard += choices;
        }
        let opened = *self.opened.get_or_insert(now);
        if now.saturating_duration_since(opened) < WINDOW {
            return false;
        }
        self.opened = Some(now);
        self.close_window()
    }

    /// Compares the latest choices with former ones, which are dropped if
    /// demand has turned; returns whether it has.
    fn close_window(&mut self) -> bool {
        let distance = distance(&self.latest, &self.weights);
        let most = TURN_MIN.max(self.usual * TURN_FACTOR);
        let turned = distance > most;
        if turned {
            self.weights.clone_from(&self.latest);
            self.heard = self.latest.iter().sum();
            self.usual += USUAL_PART_TURNED * (most - self.usual);
        } else {
            self.usual += USUAL_PART * (distance - self.usual);
        }
        self.latest.fill(0.0);
        turned
    }

    fn decay(&mut self, now: Instant) {
        let Some(at) = self.at.replace(now) else {
            return;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.heard *= factor;
    }

    /// Returns the decayed choices of all experts together.
    #[must_use]
    pub const fn heard(&self) -> f64 {
        self.heard
    }

    /// Returns the weights of one set's experts.
    #[must_use]
    pub fn set(&self, set: usize) -> &[f64] {
        &self.weights[set * self.experts..(set + 1) * self.experts]
    }
}

/// Returns how far the popularity in `latest` is from that in the rest of
/// `all`, from 0 to 1; 0 if either is empty.
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

/// Writes counts as bytes: for each set the unit, and each expert's count in
/// that unit. The most chosen expert of a set is told to 1 in 255.
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

/// Counts between two messages stay far below 2^32.
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
