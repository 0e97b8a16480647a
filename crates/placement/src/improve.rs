//! Moves whose gain in step time exceeds their cost.

use std::time::Duration;

use crate::budget::Budget;
use crate::bundle::{Bundle, CostModel};
use crate::draft::Draft;
use crate::forecast::Forecast;
use crate::options::Options;
use crate::search::LayerMove;
use crate::weights::Weights;

/// The maximum number of moves in one layer per plan.
const MAX_LAYER_MOVES: usize = 6;

/// Adds the moves that pay back, those with the highest value per move first,
/// within the load budget and the staging memory of the ranks. Returns their
/// total value.
pub(crate) fn improve(
    draft: &mut Draft,
    options: &Options,
    weights: &Weights,
    budget: &Budget,
) -> f64 {
    let mut remaining = budget
        .max_loads(options.bytes)
        .saturating_sub(draft.moves.len());
    let mut bundles = search(draft, options, weights, budget, remaining);
    bundles.sort_by(|a, b| {
        b.value_per_move()
            .total_cmp(&a.value_per_move())
            .then(a.layer.cmp(&b.layer))
    });
    let mut room = vec![options.staging; draft.speeds.len()];
    let mut total_value = 0.0;
    for bundle in bundles {
        let limit = remaining.min(reserve_staging(&bundle.moves, &mut room.clone()));
        let (count, value) = bundle.best(limit);
        let moves = &bundle.moves[..count];
        reserve_staging(moves, &mut room);
        draft.apply(bundle.layer, moves);
        remaining -= count;
        total_value += value;
    }
    total_value
}

/// Searches for a bundle in each layer, those farthest above their lower bound
/// first, because all layers share one limit on effort.
fn search(
    draft: &Draft,
    options: &Options,
    weights: &Weights,
    budget: &Budget,
    remaining: usize,
) -> Vec<Bundle> {
    let mut effort = options.effort;
    let excess = |index: usize| draft.layers[index].slowest() - draft.bounds[index];
    let mut order: Vec<u16> = (0..options.shape.layers).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (usize::from(a), usize::from(b));
        excess(b).total_cmp(&excess(a)).then(a.cmp(&b))
    });
    let limit = remaining.min(MAX_LAYER_MOVES);
    let mut bundles = Vec::new();
    for layer in order {
        let index = usize::from(layer);
        let forecast = &draft.forecasts[index];
        if has_short_burst(forecast, options, weights) {
            continue;
        }
        let cost_model = cost_model(draft, forecast, options, weights, budget);
        let target = draft.bounds[index] * (1.0 + options.margin);
        let mut bundle = Bundle::new(layer, cost_model);
        bundle.search(
            &draft.layers[index],
            forecast,
            draft.ranks(),
            (limit, target),
            &mut effort,
        );
        bundles.push(bundle);
    }
    bundles
}

/// Returns how many of the first moves fit into the staging memory, and reserves
/// that memory.
fn reserve_staging(moves: &[LayerMove], room: &mut [usize]) -> usize {
    let reserve = |next: &&LayerMove| match room[usize::from(next.rank)].checked_sub(1) {
        Some(rest) => {
            room[usize::from(next.rank)] = rest;
            true
        }
        None => false,
    };
    moves.iter().take_while(reserve).count()
}

/// Returns the cost model of a layer. A burst is expected to last for as long
/// again as it has lasted so far, and at least until the next plan.
fn cost_model(
    draft: &Draft,
    forecast: &Forecast,
    options: &Options,
    weights: &Weights,
    budget: &Budget,
) -> CostModel {
    let horizon = weights.horizon;
    let near = forecast.burst.map_or(horizon, |steps| {
        let age = burst_age(steps, options);
        age.max(budget.interval).min(horizon)
    });
    CostModel {
        saving: weights.skew / draft.slowest(),
        cost: weights.cost * budget.load_seconds(options.bytes),
        near: near.as_secs_f64(),
        far: horizon.saturating_sub(near).as_secs_f64(),
        caution: weights.caution,
    }
}

/// Returns whether the oldest burst of the layer is too short to act on.
fn has_short_burst(forecast: &Forecast, options: &Options, weights: &Weights) -> bool {
    let burst = forecast.burst;
    burst.is_some_and(|steps| burst_age(steps, options) < weights.patience)
}

fn burst_age(steps: u64, options: &Options) -> Duration {
    let steps = u32::try_from(steps).unwrap_or(u32::MAX);
    options.step.saturating_mul(steps)
}
