//! What runs for each organisation at this entry.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Organisation;

use crate::Allowance;

/// What runs for each organisation at this entry, over all services.
#[derive(Debug, Default)]
pub struct Usage {
    rows: Table<Organisation, Row>,
}

#[derive(Debug)]
struct Row {
    running: u32,
    /// The starts that the rate allows now, up to a second's worth.
    starts: f64,
    at: Instant,
    /// The starts of about the last second, each of which fades with time.
    recent: f64,
    started: Instant,
}

impl Row {
    fn recent(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.started);
        self.recent * (-time.as_secs_f64()).exp()
    }

    /// Adds the starts that `rate` has allowed since the last call.
    fn refill(&mut self, rate: u32, now: Instant) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        let rate = f64::from(rate);
        self.starts = (self.starts + time * rate).min(rate.max(1.0));
        self.at = now;
    }
}

impl Usage {
    /// Counts a request as started if the organisation's allowance has room;
    /// returns whether it has.
    pub fn try_start(
        &mut self,
        organisation: &Organisation,
        allowance: Allowance,
        now: Instant,
    ) -> bool {
        let make = || Row {
            running: 0,
            starts: 1.0,
            at: now,
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
            if row.starts < 1.0 {
                return false;
            }
            row.starts -= 1.0;
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

    /// Returns the requests of an organisation that run.
    #[must_use]
    pub fn running(&self, organisation: &Organisation) -> u32 {
        self.rows.get(organisation).map_or(0, |row| row.running)
    }

    /// Returns the requests of an organisation that start within a second, at
    /// the pace of the last ones: what there is use for of a
    /// [`crate::quota::Unit::Rate`] cap, besides what waits.
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

    /// Forgets organisations of which nothing runs and nothing has started
    /// for a while.
    pub fn tick(&mut self, now: Instant) {
        let idle = |row: &Row| now.saturating_duration_since(row.started).as_secs() > 10;
        self.rows.retain(|_, row| row.running > 0 || !idle(row));
    }
}
