//! A lower bound on step time.

/// The number of bisections that narrow the interval around the bound.
const BISECTIONS: usize = 40;

/// Returns a lower bound on the busy time per step of the slowest rank for one
/// layer, over all placements of its experts.
///
/// `loads` are in tokens per step, `speeds` in tokens per second for each rank
/// (zero if the rank is unusable), and each rank holds at most `slots` experts.
///
/// The bound is the larger of two limits: the total load over the total speed,
/// and the shortest time in which the replicas needed to finish every expert
/// within it still fit into the slots.
#[must_use]
pub fn layer_time(loads: &[f64], speeds: &[f64], slots: usize) -> f64 {
    let speed: f64 = speeds.iter().sum();
    let fastest = speeds.iter().copied().fold(0.0, f64::max);
    let usable = speeds.iter().filter(|&&speed| speed > 0.0).count();
    let slot_count = u32::try_from(slots * usable).map_or(f64::INFINITY, f64::from);
    let even = loads.iter().sum::<f64>() / speed;
    let heaviest = loads.iter().copied().fold(0.0, f64::max);
    let fits = |time: f64| replicas_needed(loads, time * fastest) <= slot_count;
    let (mut low, mut high) = (even, even.max(heaviest / fastest));
    if fits(low) {
        return low;
    }
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}

/// Returns the replicas needed if each takes at most `max_tokens` per step.
fn replicas_needed(loads: &[f64], max_tokens: f64) -> f64 {
    loads
        .iter()
        .map(|load| (load / max_tokens).ceil().max(1.0))
        .sum()
}
