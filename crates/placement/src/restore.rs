//! Moves that give every expert a replica on a usable rank.

use crate::layer::Layer;
use crate::search::{LayerMove, Ranks};

/// Returns the moves that give every expert of the layer a replica, and applies
/// them, or `None` if the ranks have too few slots for all experts.
pub(crate) fn restore(layer: &mut Layer, ranks: Ranks) -> Option<Vec<LayerMove>> {
    let mut missing: Vec<usize> = (0..layer.rows.len())
        .filter(|&expert| layer.rows[expert].is_empty())
        .collect();
    missing.sort_by(|&a, &b| layer.loads[b].total_cmp(&layer.loads[a]).then(a.cmp(&b)));
    let mut moves = Vec::with_capacity(missing.len());
    for expert in missing {
        let layer_move = place(layer, ranks, u16::try_from(expert).ok()?)?;
        layer_move.apply(layer, ranks.speeds);
        moves.push(layer_move);
    }
    Some(moves)
}

/// Returns a move of `expert` to the least busy rank that has a free slot or
/// holds an expert with another replica, which is evicted.
fn place(layer: &Layer, ranks: Ranks, expert: u16) -> Option<LayerMove> {
    let mut order: Vec<usize> = (0..layer.times.len()).collect();
    order.retain(|&index| ranks.usable[index]);
    order.sort_by(|&a, &b| layer.times[a].total_cmp(&layer.times[b]).then(a.cmp(&b)));
    order.into_iter().find_map(|index| {
        let rank = u16::try_from(index).ok()?;
        if layer.held[index].len() < ranks.slots {
            let evict = None;
            return Some(LayerMove {
                expert,
                rank,
                evict,
            });
        }
        let is_redundant = |&&held: &&u16| layer.rows[usize::from(held)].len() > 1;
        let held = layer.held[index].iter().filter(is_redundant);
        let evict = held
            .copied()
            .max_by_key(|&held| layer.rows[usize::from(held)].len());
        evict.map(|evict| LayerMove {
            expert,
            rank,
            evict: Some(evict),
        })
    })
}
