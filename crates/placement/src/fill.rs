//! Splitting an expert's traffic so that its ranks are busy equally long.

/// The traffic of one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Part {
    pub(crate) rank: u16,
    /// Tokens per step.
    pub(crate) tokens: f64,
}

impl Part {
    pub(crate) fn at(&self) -> usize {
        usize::from(self.rank)
    }
}

/// Splits `load` over `parts` so that the slowest of their ranks is as fast as
/// it can be while all other traffic stays where it is, and updates `times`,
/// in which each rank's busy seconds per step stand. Returns the largest
/// change of a rank's time.
pub(crate) fn split(
    parts: &mut [Part],
    load: f64,
    speeds: &[f64],
    times: &mut [f64],
    order: &mut Vec<usize>,
) -> f64 {
    if let [only] = parts {
        return place(only, load, speeds, times);
    }
    for part in parts.iter() {
        times[part.at()] -= part.tokens / speeds[part.at()];
    }
    let level = level(parts, load, speeds, times, order);
    let mut change = 0.0_f64;
    for part in parts {
        let at = part.at();
        let tokens = (speeds[at] * (level - times[at])).max(0.0);
        change = change.max((tokens - part.tokens).abs() / speeds[at]);
        part.tokens = tokens;
        times[at] += tokens / speeds[at];
    }
    change
}

/// Gives all of `load` to the only replica.
fn place(part: &mut Part, load: f64, speeds: &[f64], times: &mut [f64]) -> f64 {
    let change = (load - part.tokens) / speeds[part.at()];
    part.tokens = load;
    times[part.at()] += change;
    change.abs()
}

/// Returns the time up to which the ranks of `parts` are filled by `load`.
fn level(parts: &[Part], load: f64, speeds: &[f64], times: &[f64], order: &mut Vec<usize>) -> f64 {
    order.clear();
    order.extend(parts.iter().map(Part::at));
    order.sort_by(|&a, &b| times[a].total_cmp(&times[b]).then(a.cmp(&b)));
    let (mut speed, mut work) = (0.0, load);
    for (nth, &at) in order.iter().enumerate() {
        speed += speeds[at];
        work += speeds[at] * times[at];
        let level = work / speed;
        if order.get(nth + 1).is_none_or(|&next| level <= times[next]) {
            return level;
        }
    }
    0.0
}
