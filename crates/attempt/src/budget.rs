//! The retry budget of an entry.

/// The retry budget of an entry, to which each first attempt adds a part.
///
/// Beyond a small reserve, retries are at most a fraction of first attempts,
/// however many requests fail at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    /// The amount added by a first attempt, in thousandths of a retry.
    deposit: u32,
    /// The maximum balance, in thousandths of a retry.
    limit: u32,
    stored: u32,
}

/// The cost of a retry, in thousandths of a retry.
const RETRY: u32 = 1000;

impl Budget {
    /// Creates a budget of at most `limit` retries, to which each first attempt adds
    /// `deposit` thousandths of a retry. It starts with one retry, so that a restart grants
    /// no further ones.
    #[must_use]
    pub const fn new(deposit: u32, limit: u32) -> Self {
        let limit = limit.saturating_mul(RETRY);
        Self {
            deposit,
            limit,
            stored: if limit < RETRY { limit } else { RETRY },
        }
    }

    /// Adds the amount for a first attempt.
    pub fn deposit(&mut self) {
        self.stored = self.stored.saturating_add(self.deposit).min(self.limit);
    }

    /// Withdraws one retry and returns true, or returns false if less is left.
    pub fn withdraw(&mut self) -> bool {
        match self.stored.checked_sub(RETRY) {
            Some(left) => {
                self.stored = left;
                true
            }
            None => false,
        }
    }
}
