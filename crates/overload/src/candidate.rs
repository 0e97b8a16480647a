//! The draw among groups.

use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;

/// A group that may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// How many more requests of its class the entry may start there.
    pub room: u32,
    /// Whether some of its endpoints should get requests while others have room.
    pub is_preferred: bool,
}

/// Draws a candidate with a chance in proportion to its room, among the preferred ones if one
/// of them has room; `None` if none has any.
///
/// The room follows a group's free capacity, and already counts the requests that started or
/// ended since the last load reports. A further factor of free capacity would send most
/// requests of all entries to the emptiest group at once.
#[must_use]
pub fn draw(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let any_preferred = candidates.iter().any(|c| c.is_preferred && c.room > 0);
    let weights = candidates.iter().map(|candidate| {
        let is_drawn = candidate.is_preferred == any_preferred;
        if is_drawn { candidate.room } else { 0 }
    });
    let index = WeightedIndex::new(weights).ok()?;
    Some(index.sample(rng))
}
