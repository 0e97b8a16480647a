//! Moves that make the group faster by more than they cost.

use std::time::Duration;

use crate::budget::Budget;
use crate::bundle::{Bundle, Terms};
use crate::draft::Draft;
use crate::forecast::Forecast;
use crate::options::Options;
use crate::search::Step;
use crate::weights::Weights;

/// The most moves that are sought in one layer for one plan.
const LAYER_MOVES: usize = 6;

/// Adds the moves that pay back, the worthiest for each byte first, as long as
/// the budget and the memory of the ranks allow. Returns what they are worth.
pub(crate) fn improve(
    draft: &mut Draft,
    options: &Options,
    weights: &Weights,
    budget: &Budget,
) -> f64 {
    let mut left = budget
        .max_loads(options.bytes)
        .saturating_sub(draft.moves.len());
    let mut bundles = search(draft, options, weights, budget, left);
    bundles.sort_by(|a, b| {
        b.density()
            .total_cmp(&a.density())
            .then(a.layer.cmp(&b.layer))
    });
    let mut room = vec![options.staging; draft.speeds.len()];
    let mut worth = 0.0;
    for bundle in bundles {
        let most = left.min(admitted(&bundle.steps, &mut room.clone()));
        let (count, value) = bundle.best(most);
        let steps = &bundle.steps[..count];
        admitted(steps, &mut room);
        draft.make(bundle.layer, steps);
        left -= count;
        worth += value;
    }
    worth
}

/// Searches a bundle for each layer, those farthest from their bound first.
fn search(
    draft: &Draft,
    options: &Options,
    weights: &Weights,
    budget: &Budget,
    left: usize,
) -> Vec<Bundle> {
    let mut effort = options.effort;
    let excess = |at: usize| draft.layers[at].slowest() - draft.bounds[at];
    let mut order: Vec<u16> = (0..options.shape.layers).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (usize::from(a), usize::from(b));
        excess(b).total_cmp(&excess(a)).then(a.cmp(&b))
    });
    let limit = left.min(LAYER_MOVES);
    let mut bundles = Vec::new();
    for layer in order {
        let at = usize::from(layer);
        let forecast = &draft.forecasts[at];
        if young(forecast, options, weights) {
            continue;
        }
        let terms = terms(draft, forecast, options, weights, budget);
        let target = draft.bounds[at] * (1.0 + options.margin);
        let mut bundle = Bundle::new(layer, terms);
        bundle.search(
            &draft.layers[at],
            forecast,
            draft.ranks(),
            (limit, target),
            &mut effort,
        );
        bundles.push(bundle);
    }
    bundles
}

/// Returns how many of the first steps the staging memory has room for, and
/// takes that room.
fn admitted(steps: &[Step], room: &mut [usize]) -> usize {
    let fits = |step: &&Step| match room[usize::from(step.rank)].checked_sub(1) {
        Some(rest) => {
            room[usize::from(step.rank)] = rest;
            true
        }
        None => false,
    };
    steps.iter().take_while(fits).count()
}

/// Returns what savings and moves are worth in a layer. A burst is expected to
/// last as long again as it has lasted, and at least until the next plan.
fn terms(
    draft: &Draft,
    forecast: &Forecast,
    options: &Options,
    weights: &Weights,
    budget: &Budget,
) -> Terms {
    let horizon = weights.horizon;
    let near = forecast.burst.map_or(horizon, |steps| {
        let age = age(steps, options);
        age.max(budget.interval).min(horizon)
    });
    Terms {
        saving: weights.skew / draft.slowest(),
        cost: weights.cost * budget.load_seconds(options.bytes),
        near: near.as_secs_f64(),
        far: horizon.saturating_sub(near).as_secs_f64(),
        caution: weights.caution,
    }
}

/// Tells whether the layer has a burst that may be over soon.
fn young(forecast: &Forecast, options: &Options, weights: &Weights) -> bool {
    let burst = forecast.burst;
    burst.is_some_and(|steps| age(steps, options) < weights.patience)
}

fn age(steps: u64, options: &Options) -> Duration {
    let steps = u32::try_from(steps).unwrap_or(u32::MAX);
    options.step.saturating_mul(steps)
}
