//! What a borrower holds of one cap.

use std::time::{Duration, Instant};

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Sequence;

use crate::quota::{Grant, Options};

/// What a borrower holds of one cap, by home.
#[derive(Debug)]
pub(crate) struct Purse {
    holds: Table<Process, Hold>,
    /// The part that is in use, which cannot be given back yet.
    used: u32,
    /// The part that there is use for.
    wanted: u32,
    /// The most that there was use for in this lease and in the former one.
    peaks: [u32; 2],
    turned: Instant,
}

#[derive(Debug, Default)]
struct Hold {
    amount: u32,
    target: u32,
    until: Option<Instant>,
    asked: Option<Asked>,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    number: Sequence,
    wants: u32,
    at: Instant,
    /// The amount that was granted.
    answer: Option<u32>,
}

/// An ask that is due.
pub(crate) struct Due {
    pub(crate) home: Process,
    pub(crate) holds: u32,
    pub(crate) wants: u32,
}

impl Purse {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            holds: Table::new(),
            used: 0,
            wanted: 0,
            peaks: [0; 2],
            turned: now,
        }
    }

    /// Sets what is in use and what there is use for.
    pub(crate) fn set_demand(&mut self, used: u32, wanted: u32) {
        self.used = used;
        self.wanted = wanted.max(used);
        self.peaks[0] = self.peaks[0].max(self.wanted);
    }

    /// Drops what has expired.
    pub(crate) fn expire(&mut self, now: Instant, lease: Duration) {
        for (_, hold) in self.holds.iter_mut() {
            if hold.until.is_some_and(|until| until <= now) {
                (hold.amount, hold.target, hold.until) = (0, 0, None);
            }
        }
        if now.saturating_duration_since(self.turned) >= lease {
            self.peaks = [self.wanted, self.peaks[0]];
            self.turned = now;
        }
    }

    /// Returns what the borrower holds at `now`.
    pub(crate) fn held(&self, now: Instant) -> u32 {
        self.sum(now, |hold| hold.amount)
    }

    /// Returns up to what use new work may be started at `now`.
    pub(crate) fn room(&self, now: Instant) -> u32 {
        self.sum(now, |hold| hold.amount.min(hold.target))
    }

    fn sum(&self, now: Instant, part: impl Fn(&Hold) -> u32) -> u32 {
        let valid = |hold: &&Hold| hold.until.is_some_and(|until| until > now);
        self.holds.values().filter(valid).map(part).sum()
    }

    /// Tells whether there is nothing to remember.
    pub(crate) fn is_idle(&self) -> bool {
        let idle = |hold: &Hold| hold.amount == 0;
        self.wanted == 0 && self.peaks == [0; 2] && self.holds.values().all(idle)
    }

    /// Returns the ask that is due at one of `homes`, which start with the one
    /// to try first, and drops what it gives back.
    pub(crate) fn next_ask(
        &mut self,
        homes: &[&Process],
        options: &Options,
        now: Instant,
    ) -> Option<Due> {
        let wanted = self.wanted.max(self.peaks[0]).max(self.peaks[1]);
        let sum = self.held(now);
        let short = wanted.saturating_sub(sum);
        let idle = sum.saturating_sub(self.used);
        let spare = sum.saturating_sub(wanted);
        self.renewal(spare, idle, short, options, now)
            .or_else(|| self.addition(short, homes, options, now))
    }

    /// Returns the ask that keeps or gives back what a home has lent.
    fn renewal(
        &mut self,
        spare: u32,
        idle: u32,
        short: u32,
        options: &Options,
        now: Instant,
    ) -> Option<Due> {
        let mut holds = self.holds.iter_mut();
        let (home, hold) = holds.find(|(_, hold)| hold.is_due(options, now))?;
        let over = hold.amount.saturating_sub(hold.target);
        let back = spare.max(over.min(idle)).min(hold.amount);
        hold.amount -= back;
        let more = if back > 0 { 0 } else { short };
        Some(Due {
            home: home.clone(),
            holds: hold.amount,
            wants: hold.amount + more,
        })
    }

    /// Returns the ask for what is short, at the home asked longest ago.
    fn addition(
        &self,
        short: u32,
        homes: &[&Process],
        options: &Options,
        now: Instant,
    ) -> Option<Due> {
        if short == 0 {
            return None;
        }
        let asked = |home: &Process| self.holds.get(home).and_then(|hold| hold.asked);
        let is_free = |home: &&&Process| asked(home).is_none_or(|a| a.is_over(options, now));
        let free = homes.iter().filter(is_free);
        let home = free.min_by_key(|home| asked(home).map(|asked| asked.at))?;
        let amount = self.holds.get(*home).map_or(0, |hold| hold.amount);
        Some(Due {
            home: (*home).clone(),
            holds: amount,
            wants: amount + short,
        })
    }

    /// Notes an ask that is sent.
    pub(crate) fn asked(&mut self, due: Due, number: Sequence, now: Instant) {
        let hold = self.holds.get_or_insert_with(due.home, Hold::default);
        hold.asked = Some(Asked {
            number,
            wants: due.wants,
            at: now,
            answer: None,
        });
    }

    /// Takes a grant if it answers the last ask at the home and has not
    /// expired on the way.
    pub(crate) fn grant(&mut self, home: &Process, grant: &Grant, options: &Options, now: Instant) {
        let Some(hold) = self.holds.get_mut(home) else {
            return;
        };
        let Some(asked) = hold.asked.as_mut() else {
            return;
        };
        let until = asked.at + options.lease;
        if asked.number != grant.number || asked.answer.is_some() || until <= now {
            return;
        }
        asked.answer = Some(grant.amount);
        hold.amount = grant.amount;
        hold.target = grant.target;
        hold.until = Some(until);
    }
}

impl Hold {
    /// Tells whether the loan should be renewed or given back.
    fn is_due(&self, options: &Options, now: Instant) -> bool {
        let age = |asked: Asked| now.saturating_duration_since(asked.at);
        let due = |asked: Asked| match asked.answer {
            Some(_) => age(asked) >= options.lease / 3,
            None => age(asked) >= options.patience,
        };
        self.amount > 0 && self.asked.is_none_or(due)
    }
}

impl Asked {
    /// Tells whether the home may be asked again: it gave all that was wanted,
    /// did not answer, or had time to get some back.
    fn is_over(&self, options: &Options, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        match self.answer {
            Some(amount) => amount >= self.wants || age >= options.lease / 3,
            None => age >= options.patience,
        }
    }
}
