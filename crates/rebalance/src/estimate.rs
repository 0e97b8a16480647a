//! How much work each expert gets now.

use std::time::{Duration, Instant};

/// The time after which half of a count is forgotten. Demand turns every two
/// to three seconds, and a group makes tens of thousands of choices a second,
/// so that noise stays small over half a second.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// Decayed counts of all experts of a group.
#[derive(Debug, Clone)]
pub struct Estimate {
    experts: usize,
    weights: Vec<f64>,
    at: Option<Instant>,
    heard: f64,
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
        }
    }

    /// Adds the choices of one rank.
    pub fn add(&mut self, units: &[f32], counts: &[u8], now: Instant) {
        self.decay(now);
        let unit_of = |at: usize| units.get(at / self.experts).copied().unwrap_or(0.0);
        for (at, (weight, &count)) in self.weights.iter_mut().zip(counts).enumerate() {
            let choices = f64::from(unit_of(at)) * f64::from(count);
            *weight += choices;
            self.heard += choices;
        }
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
