//! The next move that makes a layer faster.

use crate::layer::Layer;

/// The power in which times count, so that the slowest ranks dominate.
const POWER: i32 = 16;
/// The least relative decrease of the score that a move must bring.
const DECREASE: f64 = 1e-3;
/// Ranks within this part of the slowest one's time are hot.
const HOT: f64 = 0.005;
/// How many experts of the hot ranks are tried.
const EXPERTS: usize = 3;
/// How many places are tried for each of them.
const PLACES: usize = 16;

/// A replica to add, and one to give up in its place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Step {
    pub(crate) expert: u16,
    pub(crate) rank: u16,
    pub(crate) evict: Option<u16>,
}

impl Step {
    /// Makes the step in `layer` and splits the traffic anew.
    pub(crate) fn apply(self, layer: &mut Layer, speeds: &[f64]) {
        self.place(layer, speeds);
        layer.balance(speeds);
    }

    fn place(self, layer: &mut Layer, speeds: &[f64]) {
        if let Some(evict) = self.evict {
            layer.remove(evict, self.rank, speeds);
        }
        layer.add(self.expert, self.rank);
    }
}

/// A place for a replica and the tokens per step that it could take over.
#[derive(Debug, Clone, Copy)]
struct Place {
    rank: u16,
    evict: Option<u16>,
    room: f64,
}

/// The ranks that may be given experts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ranks<'a> {
    pub(crate) speeds: &'a [f64],
    pub(crate) usable: &'a [bool],
    pub(crate) slots: usize,
}

/// Returns the best move found and the layer after it, or `None` if no move
/// tried makes the layer faster. Each move tried takes one from `effort`.
pub(crate) fn next(layer: &Layer, ranks: Ranks, effort: &mut usize) -> Option<(Step, Layer)> {
    let scale = layer.slowest();
    let score = |layer: &Layer| score(layer, ranks.speeds, scale);
    let mut best = (score(layer) * (1.0 - DECREASE), None);
    let places = places(layer, ranks);
    for expert in experts(layer, scale) {
        let fit = |place: &&Place| fits(layer, expert, place);
        for place in places.iter().filter(fit).take(PLACES) {
            *effort = effort.checked_sub(1)?;
            let (rank, evict) = (place.rank, place.evict);
            let step = Step {
                expert,
                rank,
                evict,
            };
            let mut after = layer.clone();
            step.place(&mut after, ranks.speeds);
            after.settle(ranks.speeds);
            let score = score(&after);
            if score < best.0 {
                best = (score, Some((step, after)));
            }
        }
    }
    let (step, mut after) = best.1?;
    after.balance(ranks.speeds);
    Some((step, after))
}

fn score(layer: &Layer, speeds: &[f64], scale: f64) -> f64 {
    let terms = layer.times.iter().zip(speeds);
    terms
        .map(|(time, speed)| speed * (time / scale).powi(POWER))
        .sum()
}

/// Returns the experts that bring the most traffic to the slowest ranks.
fn experts(layer: &Layer, slowest: f64) -> Vec<u16> {
    let hot = |at: usize| layer.times[at] >= slowest * (1.0 - HOT);
    let mut found: Vec<(f64, u16)> = Vec::new();
    for (expert, row) in (0..).zip(&layer.rows) {
        let on_hot = row.iter().filter(|part| hot(part.at()));
        let tokens = on_hot.map(|part| part.tokens).sum();
        if tokens > 0.0 {
            found.push((tokens, expert));
        }
    }
    found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    found.truncate(EXPERTS);
    found.into_iter().map(|(_, expert)| expert).collect()
}

fn fits(layer: &Layer, expert: u16, place: &Place) -> bool {
    let row = &layer.rows[usize::from(expert)];
    let absent = row.binary_search_by_key(&place.rank, |p| p.rank).is_err();
    absent && place.evict != Some(expert)
}

/// Returns the places for a replica, the roomiest first.
fn places(layer: &Layer, ranks: Ranks) -> Vec<Place> {
    let mut places = Vec::new();
    let slowest = layer.slowest();
    for (rank, at) in (0..).zip(0..layer.times.len()) {
        if !ranks.usable[at] {
            continue;
        }
        let room = ranks.speeds[at] * (slowest - layer.times[at]);
        if layer.held[at].len() < ranks.slots {
            let evict = None;
            places.push(Place { rank, evict, room });
            continue;
        }
        let spare = layer.held[at]
            .iter()
            .filter(|&&held| layer.rows[usize::from(held)].len() > 1);
        let place = |&held: &u16| Place {
            rank,
            evict: Some(held),
            room: room + freed(layer, ranks, slowest, held, rank),
        };
        places.extend(spare.map(place).max_by(|a, b| a.room.total_cmp(&b.room)));
    }
    places.sort_by(|a, b| b.room.total_cmp(&a.room));
    places
}

/// Returns the tokens per step that leave `rank` with the replica of `held`,
/// less those that its other replicas have no room for.
fn freed(layer: &Layer, ranks: Ranks, slowest: f64, held: u16, rank: u16) -> f64 {
    let (mut tokens, mut room) = (0.0, 0.0);
    for part in &layer.rows[usize::from(held)] {
        if part.rank == rank {
            tokens = part.tokens;
        } else {
            room += ranks.speeds[part.at()] * (slowest - layer.times[part.at()]);
        }
    }
    tokens - 2.0 * (tokens - room).max(0.0)
}
