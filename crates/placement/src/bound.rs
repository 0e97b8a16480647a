//! A lower bound on step time.

/// How often the interval around the bound is halved.
const HALVINGS: usize = 40;

/// Returns a time that the slowest rank takes at least for one layer, however
/// its experts are placed: `loads` in tokens per step, `speeds` in tokens per
/// second for each rank (zero if it cannot be used), and `slots` experts a
/// rank.
///
/// Two limits are taken together: the tokens over the speed of all ranks, and
/// that an expert needs enough replicas for none to take longer, with no more
/// replicas than slots.
#[must_use]
pub fn layer_time(loads: &[f64], speeds: &[f64], slots: usize) -> f64 {
    let speed: f64 = speeds.iter().sum();
    let fastest = speeds.iter().copied().fold(0.0, f64::max);
    let usable = speeds.iter().filter(|&&speed| speed > 0.0).count();
    let places = u32::try_from(slots * usable).map_or(f64::INFINITY, f64::from);
    let even = loads.iter().sum::<f64>() / speed;
    let heaviest = loads.iter().copied().fold(0.0, f64::max);
    let fits = |time: f64| needed(loads, time * fastest) <= places;
    let (mut low, mut high) = (even, even.max(heaviest / fastest));
    if fits(low) {
        return low;
    }
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}

/// Returns the replicas needed if each takes at most `most` tokens per step.
fn needed(loads: &[f64], most: f64) -> f64 {
    loads.iter().map(|load| (load / most).ceil().max(1.0)).sum()
}
