//! The borrower's side of the exchange.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Sequence};
use xxhash_rust::xxh3::xxh3_64;

use crate::quota::balance::Balance;
use crate::quota::plan::Plan;
use crate::quota::{Ask, Grant, Key, Options};

/// The borrower's side of the exchange: the quota it holds of the caps.
#[derive(Debug)]
pub(crate) struct Borrower {
    pub(crate) incarnation: Incarnation,
    last: Sequence,
    balances: Table<Key, Balance>,
    /// The last cap served by a tick. The next tick starts after it, which serves all caps
    /// in rotation.
    resume: Option<Key>,
}

impl Borrower {
    pub(crate) const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last: Sequence(0),
            balances: Table::new(),
            resume: None,
        }
    }

    pub(crate) fn set_demand(&mut self, key: &Key, used: u32, wanted: u32, now: Instant) {
        if wanted > 0 || self.balances.contains(key) {
            let make = || Balance::new(now);
            let balance = self.balances.get_or_insert_with(key.clone(), make);
            balance.set_demand(used, wanted);
        }
    }

    pub(crate) fn held(&self, key: &Key, now: Instant) -> u32 {
        self.balances
            .get(key)
            .map_or(0, |balance| balance.held(now))
    }

    pub(crate) fn room(&self, key: &Key, now: Instant) -> u32 {
        self.balances
            .get(key)
            .map_or(0, |balance| balance.room(now))
    }

    /// Returns the asks that are due, each with the lender that receives it.
    pub(crate) fn tick(
        &mut self,
        me: &Process,
        plan: &Plan,
        options: &Options,
        now: Instant,
    ) -> Vec<(Process, Ask)> {
        let mut asks = Vec::new();
        for key in self.rotated_keys() {
            if asks.len() >= options.asks {
                break;
            }
            asks.extend(self.ask(me, &key, plan, options, now));
            self.resume = Some(key);
        }
        self.balances.retain(|_, balance| !balance.is_idle());
        asks
    }

    /// Returns the active caps, starting after the one served last.
    fn rotated_keys(&self) -> Vec<Key> {
        let after = |key: &&Key| self.resume.as_ref().is_none_or(|resume| *key > resume);
        let later = self.balances.keys().filter(after);
        let earlier = self.balances.keys().filter(|key| !after(key));
        later.chain(earlier).cloned().collect()
    }

    /// Returns the ask for one cap, if one is due.
    pub(crate) fn ask(
        &mut self,
        me: &Process,
        key: &Key,
        plan: &Plan,
        options: &Options,
        now: Instant,
    ) -> Option<(Process, Ask)> {
        let balance = self.balances.get_mut(key)?;
        balance.expire(now, options.retention);
        balance.set_lenders(plan.newest(), || ask_order(me, plan.lenders(key, options)));
        let due = balance.next_ask(options, now)?;
        self.last = self.last.next();
        let lender = due.lender.clone();
        let ask = Ask {
            key: key.clone(),
            number: self.last,
            holds: due.holds,
            wants: due.wants,
        };
        balance.record_ask(due, self.last, now);
        Some((lender, ask))
    }

    /// Applies a grant if it answers the last ask for a cap to that lender, and
    /// returns the cap.
    pub(crate) fn apply_grant(
        &mut self,
        lender: &Process,
        grant: &Grant,
        options: &Options,
        now: Instant,
    ) -> Option<Key> {
        let mut balances = self.balances.iter_mut();
        let applied = balances.find_map(|(key, balance)| {
            let answers = balance.apply_grant(lender, grant, options, now);
            answers.then_some(key)
        });
        applied.cloned()
    }
}

/// Returns the lenders in the order in which `me` asks them: itself first if it is
/// one, otherwise starting at a position that depends on its name to spread the
/// load.
fn ask_order(me: &Process, mut lenders: Vec<&Process>) -> Vec<Process> {
    if let Some(at) = lenders.iter().position(|lender| *lender == me) {
        lenders.rotate_left(at);
    } else if let Ok(count) = u64::try_from(lenders.len())
        && let Some(at) = xxh3_64(me.as_str().as_bytes()).checked_rem(count)
    {
        lenders.rotate_left(usize::try_from(at).unwrap_or(0));
    }
    lenders.into_iter().cloned().collect()
}
