//! Moves that give every expert a replica on a usable rank.

use crate::layer::Layer;
use crate::search::{Ranks, Step};

/// Returns the moves after which every expert of the layer has a replica, and
/// makes them; `None` if the ranks have too few slots for all experts.
pub(crate) fn restore(layer: &mut Layer, ranks: Ranks) -> Option<Vec<Step>> {
    let mut missing: Vec<usize> = (0..layer.rows.len())
        .filter(|&expert| layer.rows[expert].is_empty())
        .collect();
    missing.sort_by(|&a, &b| layer.loads[b].total_cmp(&layer.loads[a]).then(a.cmp(&b)));
    let mut steps = Vec::with_capacity(missing.len());
    for expert in missing {
        let step = place(layer, ranks, u16::try_from(expert).ok()?)?;
        step.apply(layer, ranks.speeds);
        steps.push(step);
    }
    Some(steps)
}

/// Returns the place on the rank that is the least busy.
fn place(layer: &Layer, ranks: Ranks, expert: u16) -> Option<Step> {
    let mut order: Vec<usize> = (0..layer.times.len()).collect();
    order.retain(|&at| ranks.usable[at]);
    order.sort_by(|&a, &b| layer.times[a].total_cmp(&layer.times[b]).then(a.cmp(&b)));
    order.into_iter().find_map(|at| {
        let rank = u16::try_from(at).ok()?;
        if layer.held[at].len() < ranks.slots {
            let evict = None;
            return Some(Step {
                expert,
                rank,
                evict,
            });
        }
        let spare = |&&held: &&u16| layer.rows[usize::from(held)].len() > 1;
        let held = layer.held[at].iter().filter(spare);
        let evict = held
            .copied()
            .max_by_key(|&held| layer.rows[usize::from(held)].len());
        evict.map(|evict| Step {
            expert,
            rank,
            evict: Some(evict),
        })
    })
}
