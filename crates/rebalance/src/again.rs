//! When a rank says again how it stands, since rank 0 repeats itself.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// How long a word of a rank is trusted to be on its way before it is said again. Rank 0
/// tells a round again after 0.06 s at the earliest, and answers each word of a rank in a
/// small group: said again at once, 32 ranks and their leader answered each other without
/// end while their group was held (1.4 s a day instead of 0.6 s).
const AGAIN: Duration = Duration::from_millis(100);

/// Tells whether a rank that hears a round for the second time has to say again how it
/// stands: its word has been lost, unless it was said at `told`, just now.
#[must_use]
pub fn is_due(told: Option<Instant>, now: Instant) -> bool {
    told.is_some_and(|at| now.saturating_duration_since(at) >= AGAIN)
}
