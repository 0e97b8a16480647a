//! The quota lent from a lender's allotment of one cap.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Sequence};

use crate::quota::{Ask, Grant};

/// The quota lent from a lender's allotment of one cap.
#[derive(Debug, Default)]
pub(crate) struct Account {
    quotas: Table<(Process, Incarnation), LentQuota>,
    /// Selects the borrowers that get the remainder of an even division; it
    /// advances to give it to all of them in rotation.
    rotation: usize,
    rotated_at: Option<Instant>,
}

#[derive(Debug)]
struct LentQuota {
    number: Sequence,
    amount: u32,
    wants: u32,
    until: Instant,
}

impl Account {
    /// Drops expired quota and advances the rotation every `hold`.
    pub(crate) fn expire(&mut self, hold: Duration, now: Instant) {
        self.quotas.retain(|_, quota| quota.until > now);
        let rotated_at = *self.rotated_at.get_or_insert(now);
        if now.saturating_duration_since(rotated_at) >= hold {
            self.rotated_at = Some(now);
            self.rotation = self.rotation.wrapping_add(1);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    fn lent(&self) -> u32 {
        self.quotas.values().map(|quota| quota.amount).sum()
    }

    /// Handles an ask out of `allotment`, unless it is older than one handled
    /// before. The lent quota is counted before the grant is returned.
    ///
    /// A grant never lowers what a borrower holds, since the grant could be
    /// lost. If the allotment has shrunk below the lent quota, the lent
    /// quota is not renewed.
    pub(crate) fn handle_ask(
        &mut self,
        borrower: &(Process, Incarnation),
        ask: &Ask,
        allotment: u32,
        until: Instant,
    ) -> Option<Grant> {
        let previous = self.quotas.get(borrower);
        if previous.is_some_and(|quota| quota.number >= ask.number) {
            return None;
        }
        let holds = ask.holds.min(previous.map_or(0, |quota| quota.amount));
        let others = self.lent() - previous.map_or(0, |quota| quota.amount);
        let over_allotment = holds > 0 && others + holds > allotment;
        let quota = LentQuota {
            number: ask.number,
            amount: holds,
            wants: ask.wants,
            until: previous
                .filter(|_| over_allotment)
                .map_or(until, |quota| quota.until),
        };
        self.quotas.insert(borrower.clone(), quota);
        if ask.wants == 0 {
            self.quotas.remove(borrower);
        }
        if over_allotment || ask.wants == 0 {
            return None;
        }
        let free = allotment.saturating_sub(others + holds);
        let target = self.fair_amount(borrower, allotment).min(ask.wants);
        let amount = target.min(holds + free).max(holds);
        let quota = self.quotas.get_mut(borrower)?;
        quota.amount = amount;
        Some(Grant {
            number: ask.number,
            amount,
            target,
        })
    }

    /// Returns the max-min fair amount for a borrower: borrowers that want less
    /// than an even part of `allotment` get what they want, and the others divide
    /// the remainder evenly.
    fn fair_amount(&self, borrower: &(Process, Incarnation), allotment: u32) -> u32 {
        let mut wants: Vec<u32> = self.quotas.values().map(|quota| quota.wants).collect();
        wants.sort_unstable();
        let mut left = allotment;
        let mut others = u32::try_from(wants.len()).unwrap_or(u32::MAX);
        for want in wants {
            let level = left / others;
            if want > level {
                return level + u32::from(self.gets_remainder(borrower, level, left % others));
            }
            left -= want;
            others -= 1;
        }
        allotment
    }

    /// Returns whether a borrower is one of the `remainder` borrowers that get one
    /// more than `level` in the current rotation.
    fn gets_remainder(
        &self,
        borrower: &(Process, Incarnation),
        level: u32,
        remainder: u32,
    ) -> bool {
        let unsatisfied = self.quotas.iter().filter(|(_, quota)| quota.wants > level);
        let unsatisfied: Vec<_> = unsatisfied.map(|(name, _)| name).collect();
        let Some(at) = unsatisfied.iter().position(|name| *name == borrower) else {
            return false;
        };
        let rank = (at + self.rotation) % unsatisfied.len();
        u32::try_from(rank).is_ok_and(|rank| rank < remainder)
    }
}
