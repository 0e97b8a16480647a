//! Packing experts onto empty ranks.

use cactusnotch_popularity::Shape;

use crate::layer::Layer;
use crate::map::{self, Map};

/// By how much a rank is taken to be busier for each expert on it that meets
/// the placed one on another rank too. Experts that share one rank only let
/// traffic be shifted over many ranks.
const APART: f64 = 0.05;

/// Returns a map made from nothing: replicas in proportion to `loads`, in
/// tokens per step for each cell of `shape`, the heaviest placed first on the
/// rank that is the least busy. A rank whose speed is zero gets nothing.
///
/// # Errors
///
/// Returns an error if the ranks have fewer slots than a layer has experts.
pub fn pack(shape: Shape, loads: &[f64], speeds: &[f64], slots: usize) -> Result<Map, map::Error> {
    let layers = (0..shape.layers).map(|layer| &loads[shape.layer(layer)]);
    let packed = layers.map(|loads| layer(loads, speeds, slots));
    let rows = packed.flat_map(|layer| layer.replicas().collect::<Vec<_>>());
    Map::new(shape, rows.collect())
}

fn layer(loads: &[f64], speeds: &[f64], slots: usize) -> Layer {
    let rows = vec![&[][..]; loads.len()];
    let mut layer = Layer::new(rows.into_iter(), loads.to_vec(), speeds, |_| true);
    let usable = speeds.iter().filter(|&&speed| speed > 0.0).count();
    let counts = counts(loads, usable, slots * usable);
    let mut order: Vec<(f64, u16)> = Vec::new();
    for (expert, (&load, &count)) in (0..).zip(loads.iter().zip(&counts)) {
        let each = load / f64::from(count);
        order.extend((0..count).map(|_| (each, expert)));
    }
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    for (each, expert) in order {
        place(&mut layer, expert, each, speeds, slots);
    }
    layer.times.fill(0.0);
    layer.balance(speeds);
    layer
}

/// Returns the replicas of each expert: one, and the others one by one to the
/// expert whose replicas carry the most.
fn counts(loads: &[f64], ranks: usize, places: usize) -> Vec<u32> {
    let mut counts = vec![1_u32; loads.len()];
    for _ in loads.len()..places {
        let open = (0..loads.len()).filter(|&e| (counts[e] as usize) < ranks);
        let each = |e: usize| loads[e] / f64::from(counts[e]);
        match open.max_by(|&a, &b| each(a).total_cmp(&each(b)).then(b.cmp(&a))) {
            Some(expert) => counts[expert] += 1,
            None => break,
        }
    }
    counts
}

/// Places a replica on the least busy rank that has a slot and not the expert.
/// The last replicas of a hot expert may find none and are left out.
fn place(layer: &mut Layer, expert: u16, tokens: f64, speeds: &[f64], slots: usize) {
    let open = |&at: &usize| {
        speeds[at] > 0.0 && layer.held[at].len() < slots && !layer.held[at].contains(&expert)
    };
    let after = |at: usize| {
        let time = layer.times[at] + tokens / speeds[at];
        time * (1.0 + APART * meetings(layer, expert, at))
    };
    let ranks = (0..speeds.len()).filter(open);
    let found = ranks.min_by(|&a, &b| after(a).total_cmp(&after(b)).then(a.cmp(&b)));
    if let Some((at, rank)) = found.and_then(|at| Some((at, u16::try_from(at).ok()?))) {
        layer.add(expert, rank);
        layer.times[at] += tokens / speeds[at];
    }
}

/// Returns how many experts on the rank also share another rank with `expert`.
fn meetings(layer: &Layer, expert: u16, at: usize) -> f64 {
    let ranks = &layer.rows[usize::from(expert)];
    let meets = |held: &&u16| {
        ranks
            .iter()
            .any(|part| layer.held[part.at()].contains(*held))
    };
    layer.held[at].iter().filter(meets).map(|_| 1.0).sum()
}
