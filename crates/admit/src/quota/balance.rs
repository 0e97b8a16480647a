//! The quota that a borrower holds of one cap.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Revision, Sequence};

use crate::quota::{Grant, Options};

/// The quota that a borrower holds of one cap, by lender.
#[derive(Debug)]
pub(crate) struct Balance {
    /// The lenders under `revision`, in the order in which they are asked.
    lenders: Vec<Process>,
    revision: Option<Revision>,
    borrowed: Table<Process, Borrowed>,
    /// The amount in use, which cannot be returned yet.
    used: u32,
    /// The amount in demand.
    wanted: u32,
    /// The highest demand in this period and in the previous one.
    peaks: [u32; 2],
    period_start: Instant,
    /// The number of lenders asked for more in this period.
    attempts: u32,
}

#[derive(Debug, Default)]
struct Borrowed {
    amount: u32,
    target: u32,
    until: Option<Instant>,
    last_ask: Option<LastAsk>,
}

#[derive(Debug, Clone, Copy)]
struct LastAsk {
    number: Sequence,
    wants: u32,
    at: Instant,
    /// The granted amount.
    answer: Option<u32>,
}

/// An ask that is due, to be sent to `lender`.
pub(crate) struct DueAsk {
    pub(crate) lender: Process,
    pub(crate) holds: u32,
    pub(crate) wants: u32,
}

impl DueAsk {
    fn new(lender: &Process, holds: u32, wants: u32) -> Self {
        let lender = lender.clone();
        Self {
            lender,
            holds,
            wants,
        }
    }
}

impl Balance {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            lenders: Vec::new(),
            revision: None,
            borrowed: Table::new(),
            used: 0,
            wanted: 0,
            peaks: [0; 2],
            period_start: now,
            attempts: 0,
        }
    }

    /// Sets the amount in use and the demand.
    pub(crate) fn set_demand(&mut self, used: u32, wanted: u32) {
        self.used = used;
        self.wanted = wanted.max(used);
        self.peaks[0] = self.peaks[0].max(self.wanted);
    }

    /// Drops expired quota and starts a new period every `retention`.
    pub(crate) fn expire(&mut self, now: Instant, retention: Duration) {
        for (_, quota) in self.borrowed.iter_mut() {
            if quota.until.is_some_and(|until| until <= now) {
                (quota.amount, quota.target, quota.until) = (0, 0, None);
            }
        }
        if now.saturating_duration_since(self.period_start) >= retention {
            self.peaks = [self.wanted, self.peaks[0]];
            self.period_start = now;
            self.attempts = 0;
        }
    }

    /// Returns the quota that the borrower holds at `now`.
    pub(crate) fn held(&self, now: Instant) -> u32 {
        self.sum(now, |quota| quota.amount)
    }

    /// Returns the amount in use up to which new work may start at `now`.
    pub(crate) fn room(&self, now: Instant) -> u32 {
        self.sum(now, |quota| quota.amount.min(quota.target))
    }

    fn sum(&self, now: Instant, amount: impl Fn(&Borrowed) -> u32) -> u32 {
        let valid = |quota: &&Borrowed| quota.until.is_some_and(|until| until > now);
        self.borrowed.values().filter(valid).map(amount).sum()
    }

    /// Returns whether there is neither quota nor demand.
    pub(crate) fn is_idle(&self) -> bool {
        let idle = |quota: &Borrowed| quota.amount == 0;
        self.wanted == 0 && self.peaks == [0; 2] && self.borrowed.values().all(idle)
    }

    /// Sets the lenders under a revision, unless they are already set.
    pub(crate) fn set_lenders(
        &mut self,
        revision: Option<Revision>,
        lenders: impl FnOnce() -> Vec<Process>,
    ) {
        if self.revision != revision {
            self.lenders = lenders();
            self.revision = revision;
        }
    }

    /// Returns the ask that is due, and drops the quota that it returns.
    pub(crate) fn next_ask(&mut self, options: &Options, now: Instant) -> Option<DueAsk> {
        let wanted = self.wanted.max(self.peaks[0]).max(self.peaks[1]);
        let sum = self.held(now);
        let shortfall = wanted.saturating_sub(sum);
        self.return_surplus(sum.saturating_sub(wanted), options, now)
            .or_else(|| self.renewal(sum, shortfall, options, now))
            .or_else(|| self.increase(shortfall, options, now))
    }

    /// Returns the ask that returns quota without demand.
    fn return_surplus(&mut self, surplus: u32, options: &Options, now: Instant) -> Option<DueAsk> {
        if surplus == 0 {
            return None;
        }
        let mut quotas = self.borrowed.iter_mut();
        let is_free = |quota: &Borrowed| quota.amount > 0 && !quota.is_pending(options, now);
        let (lender, quota) = quotas.find(|(_, quota)| is_free(quota))?;
        quota.amount -= surplus.min(quota.amount);
        Some(DueAsk::new(lender, quota.amount, quota.amount))
    }

    /// Returns the ask that renews the quota of a lender, or returns its idle part
    /// if other borrowers want it.
    fn renewal(
        &mut self,
        sum: u32,
        shortfall: u32,
        options: &Options,
        now: Instant,
    ) -> Option<DueAsk> {
        let idle = sum.saturating_sub(self.used);
        let is_due = |quota: &Borrowed| {
            let is_wanted = idle > 0 && quota.excess() > 0 && !quota.is_pending(options, now);
            is_wanted || quota.is_due(options, now)
        };
        let mut quotas = self.borrowed.iter_mut();
        let (lender, quota) = quotas.find(|(_, quota)| is_due(quota))?;
        let excess = quota.excess();
        quota.amount -= excess.min(idle);
        Some(DueAsk::new(
            lender,
            quota.amount,
            quota.amount + excess + shortfall,
        ))
    }

    /// Returns the ask for the shortfall, to the lender asked longest ago.
    fn increase(&mut self, shortfall: u32, options: &Options, now: Instant) -> Option<DueAsk> {
        if shortfall == 0 || self.attempts >= options.attempts {
            return None;
        }
        let asked = |lender: &Process| self.borrowed.get(lender).and_then(|quota| quota.last_ask);
        let is_free =
            |lender: &&Process| asked(lender).is_none_or(|a| a.may_ask_again(options, now));
        let free = self.lenders.iter().filter(is_free);
        let lender = free.min_by_key(|lender| asked(lender).map(|asked| asked.at))?;
        self.attempts += 1;
        let amount = self.borrowed.get(lender).map_or(0, |quota| quota.amount);
        Some(DueAsk::new(lender, amount, amount + shortfall))
    }

    /// Records a sent ask.
    pub(crate) fn record_ask(&mut self, due: DueAsk, number: Sequence, now: Instant) {
        let quota = self
            .borrowed
            .get_or_insert_with(due.lender, Borrowed::default);
        quota.last_ask = Some(LastAsk {
            number,
            wants: due.wants,
            at: now,
            answer: (due.wants == 0).then_some(0),
        });
    }

    /// Applies a grant if it answers the last ask to the lender and has not
    /// expired in transit. Returns whether it answers that ask.
    pub(crate) fn apply_grant(
        &mut self,
        lender: &Process,
        grant: &Grant,
        options: &Options,
        now: Instant,
    ) -> bool {
        let Some(quota) = self.borrowed.get_mut(lender) else {
            return false;
        };
        let is_last = |asked: &&mut LastAsk| asked.number == grant.number;
        let Some(asked) = quota.last_ask.as_mut().filter(is_last) else {
            return false;
        };
        let until = asked.at + options.lease;
        if until > now {
            asked.answer = Some(grant.amount);
            quota.amount = grant.amount;
            quota.target = grant.target;
            quota.until = Some(until);
        }
        true
    }
}

impl Borrowed {
    /// Returns whether an answer is pending.
    fn is_pending(&self, options: &Options, now: Instant) -> bool {
        let age = |asked: LastAsk| now.saturating_duration_since(asked.at);
        let waits = |asked: LastAsk| asked.answer.is_none() && age(asked) < options.answer_timeout;
        self.last_ask.is_some_and(waits)
    }

    /// Returns the amount that other borrowers want.
    fn excess(&self) -> u32 {
        self.amount.saturating_sub(self.target)
    }

    /// Returns whether the quota is due for renewal, which is in the last third of its lease.
    fn is_due(&self, options: &Options, now: Instant) -> bool {
        let left = |until: Instant| until.saturating_duration_since(now);
        let ends = self
            .until
            .is_some_and(|until| left(until) <= options.lease / 3);
        self.amount > 0 && ends && !self.is_pending(options, now)
    }
}

impl LastAsk {
    /// Returns whether the lender may be asked again: it granted the full amount,
    /// did not answer, or had time to receive returned quota.
    fn may_ask_again(&self, options: &Options, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        match self.answer {
            Some(amount) => amount >= self.wants || age >= options.retention,
            None => age >= options.answer_timeout,
        }
    }
}
