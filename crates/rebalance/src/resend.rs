//! Decides when a rank repeats its status because rank 0 repeats a round.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// How long the latest status of a rank is assumed to be in flight. Rank 0 repeats a round
/// after 0.06 s at the earliest, and in a small group answers each status: if ranks
/// repeated theirs at once, 32 ranks and their leader would answer each other without end
/// while their group was held (1.4 s a day instead of 0.6 s).
const RESEND_AFTER: Duration = Duration::from_millis(100);

/// Returns whether a rank that receives a round for the second time must repeat its status:
/// the previous one was lost, unless it was sent at `sent_at` only a moment ago.
#[must_use]
pub fn is_due(sent_at: Option<Instant>, now: Instant) -> bool {
    sent_at.is_some_and(|at| now.saturating_duration_since(at) >= RESEND_AFTER)
}
