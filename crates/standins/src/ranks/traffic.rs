//! How many tokens each expert gets in each step.

use cactusnotch_base::number::Step;
use cactusnotch_placement::{Cell, Shape};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How popular the experts are.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// The tokens that each layer routes in one step.
    pub tokens: u32,
    /// The exponent of the popularity by place: zero makes all alike.
    pub skew: f64,
    /// After how many steps the places move on by one; zero never.
    pub drift: u64,
    /// The part by which a count strays at most from its expectation.
    pub noise: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            tokens: 1024,
            skew: 0.8,
            drift: 0,
            noise: 0.1,
        }
    }
}

/// An expert that a test has made hot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hot {
    pub(crate) cell: Cell,
    pub(crate) factor: f64,
}

/// Returns the tokens of each expert in `step`, a row for each cell.
pub(crate) fn counts(
    traffic: &Traffic,
    shape: Shape,
    seed: u64,
    step: Step,
    hot: &[Hot],
) -> Vec<u32> {
    let mut counts = Vec::with_capacity(shape.cells());
    for layer in 0..shape.layers {
        let weights: Vec<f64> = (0..shape.experts)
            .map(|expert| weight(traffic, shape, seed, step, Cell { layer, expert }, hot))
            .collect();
        let sum: f64 = weights.iter().sum();
        let scale = f64::from(traffic.tokens) / sum;
        counts.extend(weights.iter().map(|weight| rounded(weight * scale)));
    }
    counts
}

fn weight(traffic: &Traffic, shape: Shape, seed: u64, step: Step, cell: Cell, hot: &[Hot]) -> f64 {
    let moved = step.0.checked_div(traffic.drift).unwrap_or(0);
    let experts = u64::from(shape.experts);
    // An odd stride spreads the places over the experts of a layer.
    let offset = xxh3_64_with_seed(&cell.layer.to_le_bytes(), seed) % experts;
    let place = (u64::from(cell.expert) * stride(experts) + offset + moved) % experts;
    let place = u16::try_from(place).unwrap_or(u16::MAX);
    let popularity = (f64::from(place) + 1.0).powf(-traffic.skew);
    let factor: f64 = hot
        .iter()
        .filter(|hot| hot.cell == cell)
        .map(|hot| hot.factor)
        .product();
    popularity * factor * (1.0 + traffic.noise * noise(seed, step, cell))
}

/// Returns a number below `experts` with no common divisor.
fn stride(experts: u64) -> u64 {
    (experts / 3..experts)
        .find(|stride| *stride > 0 && gcd(*stride, experts) == 1)
        .unwrap_or(1)
}

const fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Returns a number between -1 and 1 that depends on nothing else.
fn noise(seed: u64, step: Step, cell: Cell) -> f64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&step.0.to_le_bytes());
    bytes[8..10].copy_from_slice(&cell.layer.to_le_bytes());
    bytes[10..].copy_from_slice(&cell.expert.to_le_bytes());
    let hash = xxh3_64_with_seed(&bytes, seed);
    let part = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(u32::MAX) * 2.0 - 1.0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of tokens is positive and far below the limit"
)]
fn rounded(tokens: f64) -> u32 {
    tokens.round() as u32
}
