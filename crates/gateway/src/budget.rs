//! The budget of an entry for retries.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_retry::Budget;

/// The part of the slack that all entries together may save up. The rest covers retries that
/// arrive in a later window than they are charged in, and requests that are read in a later
/// one than they are sent in, for example after a host was suspended.
const SAVED_PART: f64 = 0.5;
/// The least that an entry may save up, in retries: less would never allow one.
const BURST_MIN: f64 = 1.0;
/// How long a larger number of entries stays valid. A list of entries may be short for a while,
/// after a start or while entries are restarted, and is renewed within this time.
const COUNT_LIFETIME: Duration = Duration::from_secs(15);

/// What a service's budget has earned and spent when a retry asks for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// The requests that have been counted since the start of the process.
    pub requests: u64,
    /// The retries that have been charged since then.
    pub retries: u64,
    /// The retries that are allowed now; less than one if none is.
    pub credit: f64,
}

impl Balance {
    /// Returns whether the budget allows a retry.
    #[must_use]
    pub const fn allows(&self) -> bool {
        self.credit >= 1.0
    }
}

/// The budget of one service.
#[derive(Debug)]
struct Account {
    budget: Budget,
    requests: u64,
    retries: u64,
}

/// The retry budgets of an entry, by service.
///
/// Each request earns a fraction of a retry, once, at the entry that receives it, and an entry
/// can save up no more than its part of the slack. A process starts without credit. In any
/// window all entries together thus make at most `ratio` retries for each request received in
/// it, and what they had saved up before. This holds however often entries restart and
/// whichever of them callers go to, without any communication.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    /// The most credit that is saved up, in retries.
    burst: f64,
    /// The number of entries that the slack is divided among, and when it was last valid.
    entries: Option<(u32, Instant)>,
    accounts: Table<String, Account>,
}

impl RetryBudgets {
    /// Creates budgets of `ratio` retries for each request.
    #[must_use]
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            burst: BURST_MIN.max(ratio),
            entries: None,
            accounts: Table::new(),
        }
    }

    /// Sets what this entry may save up: its part, as one of `entries`, of `slack`, the retries
    /// that are allowed in a window beyond the ratio. `None` stands for an unknown number.
    pub fn share(&mut self, slack: u32, entries: Option<u32>, now: Instant) {
        let known = self
            .entries
            .filter(|&(_, at)| now.saturating_duration_since(at) < COUNT_LIFETIME);
        self.entries = match (known, entries) {
            (Some((most, at)), Some(count)) if most > count => Some((most, at)),
            (known, None) => known,
            (_, Some(count)) => Some((count, now)),
        };
        let part = |(count, _)| SAVED_PART * f64::from(slack) / f64::from(u32::max(count, 1));
        let part = self.entries.map_or(BURST_MIN, part);
        // What a single request earns is never cut.
        self.burst = part.max(BURST_MIN).max(self.ratio);
        let (ratio, burst) = (self.ratio, self.burst);
        for (_, account) in self.accounts.iter_mut() {
            account.budget.configure(ratio, burst);
        }
    }

    /// Changes the ratio.
    pub const fn configure(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &str) {
        let account = self.account(service);
        account.budget.deposit();
        account.requests += 1;
    }

    /// Returns whether the budget allows a retry now.
    pub fn can_retry(&mut self, service: &str) -> bool {
        self.balance(service).allows()
    }

    /// Returns what a service's budget has earned and spent.
    pub fn balance(&mut self, service: &str) -> Balance {
        let account = self.account(service);
        Balance {
            requests: account.requests,
            retries: account.retries,
            credit: account.budget.tokens(),
        }
    }

    /// Charges a retry to the budget; returns whether the budget allowed it.
    pub fn try_spend(&mut self, service: &str) -> bool {
        let account = self.account(service);
        let allowed = account.budget.withdraw();
        account.retries += u64::from(allowed);
        allowed
    }

    fn account(&mut self, service: &str) -> &mut Account {
        let (ratio, burst) = (self.ratio, self.burst);
        let start = || Account {
            budget: Budget::empty(ratio, burst),
            requests: 0,
            retries: 0,
        };
        self.accounts.get_or_insert_with(service.to_owned(), start)
    }
}
