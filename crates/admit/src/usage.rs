//! The running requests of each organisation at this entry.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Organisation;

use crate::Allowance;

/// The running requests of each organisation at this entry, over all services.
#[derive(Debug, Default)]
pub struct Usage {
    rows: Table<Organisation, Row>,
}

#[derive(Debug)]
struct Row {
    running: u32,
    /// The token bucket of the rate limit, which holds at most one second's starts.
    tokens: f64,
    refilled_at: Instant,
    /// The number of starts within about the last second, exponentially decayed.
    recent: f64,
    started: Instant,
}

impl Row {
    fn recent(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.started);
        self.recent * (-time.as_secs_f64()).exp()
    }

    /// Adds the tokens for the time since the last call.
    fn refill(&mut self, rate: u32, now: Instant) {
        let time = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let rate = f64::from(rate);
        self.tokens = (self.tokens + time * rate).min(rate.max(1.0));
        self.refilled_at = now;
    }
}

impl Usage {
    /// Counts a request as started if the organisation's allowance permits it;
    /// returns whether it does.
    pub fn try_start(
        &mut self,
        organisation: &Organisation,
        allowance: Allowance,
        now: Instant,
    ) -> bool {
        let make = || Row {
            running: 0,
            tokens: 1.0,
            refilled_at: now,
            recent: 0.0,
            started: now,
        };
        let row = self.rows.get_or_insert_with(organisation.clone(), make);
        if allowance
            .concurrency
            .is_some_and(|most| row.running >= most)
        {
            return false;
        }
        if let Some(rate) = allowance.rate {
            row.refill(rate, now);
            if row.tokens < 1.0 {
                return false;
            }
            row.tokens -= 1.0;
        }
        row.running += 1;
        row.recent = row.recent(now) + 1.0;
        row.started = now;
        true
    }

    /// Counts a request as ended.
    pub fn finish(&mut self, organisation: &Organisation) {
        if let Some(row) = self.rows.get_mut(organisation) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// Returns the number of running requests of an organisation.
    #[must_use]
    pub fn running(&self, organisation: &Organisation) -> u32 {
        self.rows.get(organisation).map_or(0, |row| row.running)
    }

    /// Returns the recent rate of an organisation's starts in requests per
    /// second. Together with the waiting requests it is the demand for a
    /// [`crate::quota::Unit::Rate`] cap.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a number of starts is not negative and far below 2^32"
    )]
    pub fn rate(&self, organisation: &Organisation, now: Instant) -> u32 {
        let recent = |row: &Row| row.recent(now);
        self.rows.get(organisation).map_or(0.0, recent).ceil() as u32
    }

    /// Removes organisations without running requests whose last start was more
    /// than ten seconds ago.
    pub fn tick(&mut self, now: Instant) {
        let idle = |row: &Row| now.saturating_duration_since(row.started).as_secs() > 10;
        self.rows.retain(|_, row| row.running > 0 || !idle(row));
    }
}
