//! Initial placement of experts onto empty ranks.

use cactusnotch_popularity::Shape;

use crate::layer::Layer;
use crate::map::{self, Map};

/// The relative increase of a rank's time, for the choice of a rank, per expert
/// that already shares another rank with the placed one. Traffic can be shifted
/// over more ranks if each pair of experts shares at most one rank.
const OVERLAP_PENALTY: f64 = 0.05;

/// Returns a map for empty ranks, with replicas in proportion to `loads` (tokens
/// per step for each cell of `shape`). Places the replicas with the most load
/// first, each on the least busy rank. A rank with speed zero gets none.
///
/// # Errors
///
/// Returns an error if the ranks have fewer slots than a layer has experts.
pub fn map(shape: Shape, loads: &[f64], speeds: &[f64], slots: usize) -> Result<Map, map::Error> {
    let layers = (0..shape.layers).map(|layer| &loads[shape.layer(layer)]);
    let packed = layers.map(|loads| pack_layer(loads, speeds, slots));
    let rows = packed.flat_map(|layer| layer.replicas().collect::<Vec<_>>());
    Map::new(shape, rows.collect())
}

fn pack_layer(loads: &[f64], speeds: &[f64], slots: usize) -> Layer {
    let rows = vec![&[][..]; loads.len()];
    let mut layer = Layer::new(rows.into_iter(), loads.to_vec(), speeds, |_| true);
    let usable = speeds.iter().filter(|&&speed| speed > 0.0).count();
    let counts = replica_counts(loads, usable, slots * usable);
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

/// Returns the number of replicas of each expert: one each, and the remaining
/// slots one by one to the expert with the highest load per replica.
fn replica_counts(loads: &[f64], ranks: usize, slot_count: usize) -> Vec<u32> {
    let mut counts = vec![1_u32; loads.len()];
    for _ in loads.len()..slot_count {
        let open = (0..loads.len()).filter(|&e| (counts[e] as usize) < ranks);
        let each = |e: usize| loads[e] / f64::from(counts[e]);
        match open.max_by(|&a, &b| each(a).total_cmp(&each(b)).then(b.cmp(&a))) {
            Some(expert) => counts[expert] += 1,
            None => break,
        }
    }
    counts
}

/// Places a replica on the least busy rank that has a free slot and does not
/// hold the expert. If there is none, the replica is omitted.
fn place(layer: &mut Layer, expert: u16, tokens: f64, speeds: &[f64], slots: usize) {
    let open = |&at: &usize| {
        speeds[at] > 0.0 && layer.held[at].len() < slots && !layer.held[at].contains(&expert)
    };
    let after = |at: usize| {
        let time = layer.times[at] + tokens / speeds[at];
        time * (1.0 + OVERLAP_PENALTY * overlaps(layer, expert, at))
    };
    let ranks = (0..speeds.len()).filter(open);
    let found = ranks.min_by(|&a, &b| after(a).total_cmp(&after(b)).then(a.cmp(&b)));
    if let Some((at, rank)) = found.and_then(|at| Some((at, u16::try_from(at).ok()?))) {
        layer.add(expert, rank);
        layer.times[at] += tokens / speeds[at];
    }
}

/// Returns how many experts on the rank at `at` share another rank with `expert`.
fn overlaps(layer: &Layer, expert: u16, at: usize) -> f64 {
    let ranks = &layer.rows[usize::from(expert)];
    let overlap = |held: &&u16| {
        ranks
            .iter()
            .any(|assignment| layer.held[assignment.index()].contains(*held))
    };
    layer.held[at].iter().filter(overlap).map(|_| 1.0).sum()
}
