//! Water-filling: splits an expert's traffic over its ranks to equalize their
//! busy times.

/// The traffic assigned to one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Assignment {
    pub(crate) rank: u16,
    /// Tokens per step.
    pub(crate) tokens: f64,
}

impl Assignment {
    pub(crate) fn index(&self) -> usize {
        usize::from(self.rank)
    }
}

/// Splits `load` over `assignments` to minimize the busy time of the slowest of
/// their ranks, with all other traffic unchanged.
///
/// `times` holds each rank's busy seconds per step and is updated; `order` is a
/// reusable buffer. Returns the largest change of a rank's time.
pub(crate) fn split(
    assignments: &mut [Assignment],
    load: f64,
    speeds: &[f64],
    times: &mut [f64],
    order: &mut Vec<usize>,
) -> f64 {
    if let [only] = assignments {
        return assign_all(only, load, speeds, times);
    }
    for assignment in assignments.iter() {
        times[assignment.index()] -= assignment.tokens / speeds[assignment.index()];
    }
    let level = level(assignments, load, speeds, times, order);
    let mut change = 0.0_f64;
    for assignment in assignments {
        let index = assignment.index();
        let tokens = (speeds[index] * (level - times[index])).max(0.0);
        change = change.max((tokens - assignment.tokens).abs() / speeds[index]);
        assignment.tokens = tokens;
        times[index] += tokens / speeds[index];
    }
    change
}

/// Assigns all of `load` to the only replica.
fn assign_all(assignment: &mut Assignment, load: f64, speeds: &[f64], times: &mut [f64]) -> f64 {
    let change = (load - assignment.tokens) / speeds[assignment.index()];
    assignment.tokens = load;
    times[assignment.index()] += change;
    change.abs()
}

/// Returns the busy time that the ranks of `assignments` reach when `load` fills
/// up the least busy of them to a common level.
fn level(
    assignments: &[Assignment],
    load: f64,
    speeds: &[f64],
    times: &[f64],
    order: &mut Vec<usize>,
) -> f64 {
    order.clear();
    order.extend(assignments.iter().map(Assignment::index));
    order.sort_by(|&a, &b| times[a].total_cmp(&times[b]).then(a.cmp(&b)));
    let (mut speed, mut work) = (0.0, load);
    for (nth, &index) in order.iter().enumerate() {
        speed += speeds[index];
        work += speeds[index] * times[index];
        let level = work / speed;
        if order.get(nth + 1).is_none_or(|&next| level <= times[next]) {
            return level;
        }
    }
    0.0
}
