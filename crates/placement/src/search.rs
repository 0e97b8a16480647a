//! Search for the next move that reduces a layer's step time.

use crate::layer::Layer;

/// The exponent of rank times in the score; a high one lets the slowest ranks
/// dominate.
const TIME_EXPONENT: i32 = 16;
/// The minimum relative decrease of the score for a move to be accepted.
const MIN_SCORE_DECREASE: f64 = 1e-3;
/// Ranks whose time is within this fraction of the slowest rank's are hot.
const HOT_MARGIN: f64 = 0.005;
/// The maximum number of experts of the hot ranks that are tried.
const MAX_EXPERTS: usize = 3;
/// The maximum number of places that are tried for each expert.
const MAX_PLACES: usize = 16;

/// A move within one layer: a replica to add, and one to evict for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LayerMove {
    pub(crate) expert: u16,
    pub(crate) rank: u16,
    pub(crate) evict: Option<u16>,
}

impl LayerMove {
    /// Applies the move to `layer` and rebalances the traffic.
    pub(crate) fn apply(self, layer: &mut Layer, speeds: &[f64]) {
        self.move_replica(layer, speeds);
        layer.balance(speeds);
    }

    fn move_replica(self, layer: &mut Layer, speeds: &[f64]) {
        if let Some(evict) = self.evict {
            layer.remove(evict, self.rank, speeds);
        }
        layer.add(self.expert, self.rank);
    }
}

/// A place for a replica, with the tokens per step that it could take over.
#[derive(Debug, Clone, Copy)]
struct Place {
    rank: u16,
    evict: Option<u16>,
    room: f64,
}

/// The ranks of a group and their capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ranks<'a> {
    pub(crate) speeds: &'a [f64],
    pub(crate) usable: &'a [bool],
    pub(crate) slots: usize,
}

/// Returns the best move found and the layer after it, or `None` if none of the
/// moves tried reduces the score. Each move tried takes one from `effort`; the
/// search returns `None` when `effort` is used up.
pub(crate) fn best_move(
    layer: &Layer,
    ranks: Ranks,
    effort: &mut usize,
) -> Option<(LayerMove, Layer)> {
    let scale = layer.slowest();
    let score = |layer: &Layer| score(layer, ranks.speeds, scale);
    let mut best = (score(layer) * (1.0 - MIN_SCORE_DECREASE), None);
    let places = places(layer, ranks);
    for expert in experts(layer, scale) {
        let fit = |place: &&Place| fits(layer, expert, place);
        for place in places.iter().filter(fit).take(MAX_PLACES) {
            *effort = effort.checked_sub(1)?;
            let (rank, evict) = (place.rank, place.evict);
            let layer_move = LayerMove {
                expert,
                rank,
                evict,
            };
            let mut after = layer.clone();
            layer_move.move_replica(&mut after, ranks.speeds);
            after.balance_roughly(ranks.speeds);
            let score = score(&after);
            if score < best.0 {
                best = (score, Some((layer_move, after)));
            }
        }
    }
    let (layer_move, mut after) = best.1?;
    after.balance(ranks.speeds);
    Some((layer_move, after))
}

fn score(layer: &Layer, speeds: &[f64], scale: f64) -> f64 {
    let terms = layer.times.iter().zip(speeds);
    terms
        .map(|(time, speed)| speed * (time / scale).powi(TIME_EXPONENT))
        .sum()
}

/// Returns the experts with the most traffic on the hot ranks.
fn experts(layer: &Layer, slowest: f64) -> Vec<u16> {
    let hot = |at: usize| layer.times[at] >= slowest * (1.0 - HOT_MARGIN);
    let mut found: Vec<(f64, u16)> = Vec::new();
    for (expert, row) in (0..).zip(&layer.rows) {
        let on_hot = row.iter().filter(|assignment| hot(assignment.index()));
        let tokens = on_hot.map(|assignment| assignment.tokens).sum();
        if tokens > 0.0 {
            found.push((tokens, expert));
        }
    }
    found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    found.truncate(MAX_EXPERTS);
    found.into_iter().map(|(_, expert)| expert).collect()
}

fn fits(layer: &Layer, expert: u16, place: &Place) -> bool {
    let row = &layer.rows[usize::from(expert)];
    let absent = row.binary_search_by_key(&place.rank, |p| p.rank).is_err();
    absent && place.evict != Some(expert)
}

/// Returns the possible places for a replica, those with the most room first.
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
        let redundant = layer.held[at]
            .iter()
            .filter(|&&held| layer.rows[usize::from(held)].len() > 1);
        let place = |&held: &u16| Place {
            rank,
            evict: Some(held),
            room: room + freed(layer, ranks, slowest, held, rank),
        };
        places.extend(
            redundant
                .map(place)
                .max_by(|a, b| a.room.total_cmp(&b.room)),
        );
    }
    places.sort_by(|a, b| b.room.total_cmp(&a.room));
    places
}

/// Returns the room that evicting `held` frees on `rank`, in tokens per step:
/// its traffic there, less twice the part that its other replicas have no room
/// for.
fn freed(layer: &Layer, ranks: Ranks, slowest: f64, held: u16, rank: u16) -> f64 {
    let (mut tokens, mut room) = (0.0, 0.0);
    for assignment in &layer.rows[usize::from(held)] {
        if assignment.rank == rank {
            tokens = assignment.tokens;
        } else {
            room += ranks.speeds[assignment.index()] * (slowest - layer.times[assignment.index()]);
        }
    }
    tokens - 2.0 * (tokens - room).max(0.0)
}
