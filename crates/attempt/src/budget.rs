//! The retries that an entry may spend.

/// Retry tokens of an entry, earned by first attempts.
///
/// Retries are thereby at most a fraction of first attempts, beyond a small
/// store, however many requests fail at once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    /// What a first attempt earns, in thousandths of a retry.
    earned: u32,
    /// The most that is stored, in thousandths of a retry.
    limit: u32,
    stored: u32,
}

/// The thousandths of a retry that one retry costs.
const RETRY: u32 = 1000;

impl Budget {
    /// Creates a full budget of `limit` retries to which each first attempt
    /// adds `earned` thousandths of one.
    #[must_use]
    pub const fn new(earned: u32, limit: u32) -> Self {
        let limit = limit.saturating_mul(RETRY);
        Self {
            earned,
            limit,
            stored: limit,
        }
    }

    /// Adds what a first attempt earns.
    pub fn earn(&mut self) {
        self.stored = self.stored.saturating_add(self.earned).min(self.limit);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self) -> bool {
        match self.stored.checked_sub(RETRY) {
            Some(left) => {
                self.stored = left;
                true
            }
            None => false,
        }
    }
}
