//! A breadth-first search over all paths of a small model.

use std::collections::HashSet;

use crate::setup::Action;
use crate::world::{World, hash};

/// The counts of a search.
#[derive(Debug, Default)]
pub struct Report {
    pub visited: usize,
    pub depth: usize,
    pub complete: bool,
    pub whole: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub moved: usize,
    pub held: usize,
}

/// Visits the states reachable from `start`, nearest first, up to `limit` of
/// them.
///
/// # Panics
///
/// Panics with the shortest path to a state that violates a guarantee.
pub fn explore(start: World, limit: usize) -> Report {
    let mut seen = HashSet::from([hash(&start)]);
    let mut steps: Vec<(usize, Action)> = vec![(0, Action::Advance)];
    let mut frontier = vec![(0, start)];
    let mut report = Report {
        visited: 1,
        ..Report::default()
    };
    while !frontier.is_empty() {
        report.depth += 1;
        let mut next = Vec::new();
        for (parent, world) in frontier {
            for action in world.actions() {
                let mut after = world.clone();
                after.act(&action);
                if !seen.insert(hash(&after)) {
                    continue;
                }
                steps.push((parent, action));
                let number = steps.len() - 1;
                if let Err(broken) = after.check() {
                    panic!("{broken}\n{}", path(&steps, number));
                }
                report.count(&after);
                next.push((number, after));
                if seen.len() >= limit {
                    return report;
                }
            }
        }
        frontier = next;
    }
    report.complete = true;
    report
}

impl Report {
    pub(crate) fn count(&mut self, world: &World) {
        self.visited += 1;
        self.whole += usize::from(world.answered_whole());
        self.not_run += usize::from(world.answered_not_run());
        self.unknown += usize::from(world.answered_unknown());
        self.moved += usize::from(world.moved);
        self.held += usize::from(world.held);
    }
}

pub(crate) fn path(steps: &[(usize, Action)], mut number: usize) -> String {
    let mut lines = Vec::new();
    while number > 0 {
        let (parent, action) = &steps[number];
        lines.push(format!("  {action:?}"));
        number = *parent;
    }
    lines.reverse();
    lines.join("\n")
}
