//! A home's part of one cap and the loans from it.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Sequence};

use crate::quota::{Ask, Grant};

/// The loans from a home's part of one cap.
#[derive(Debug, Default)]
pub(crate) struct Account {
    loans: Table<(Process, Incarnation), Loan>,
    /// Which borrowers get what cannot be divided evenly; it advances so that
    /// all get it in turn.
    turn: usize,
    turned: Option<Instant>,
}

#[derive(Debug)]
struct Loan {
    number: Sequence,
    amount: u32,
    wants: u32,
    until: Instant,
}

impl Account {
    /// Forgets the loans that have ended, and begins a new turn every `hold`.
    pub(crate) fn expire(&mut self, hold: Duration, now: Instant) {
        self.loans.retain(|_, loan| loan.until > now);
        let turned = *self.turned.get_or_insert(now);
        if now.saturating_duration_since(turned) >= hold {
            self.turned = Some(now);
            self.turn = self.turn.wrapping_add(1);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    fn lent(&self) -> u32 {
        self.loans.values().map(|loan| loan.amount).sum()
    }

    /// Answers an ask out of `part`, unless a newer one is known. The loan is
    /// counted before the answer exists.
    ///
    /// What a borrower holds is never lowered by an answer, which could be
    /// lost; if the part has shrunk below the loans they are not renewed.
    pub(crate) fn ask(
        &mut self,
        borrower: &(Process, Incarnation),
        ask: &Ask,
        part: u32,
        until: Instant,
    ) -> Option<Grant> {
        let known = self.loans.get(borrower);
        if known.is_some_and(|loan| loan.number >= ask.number) {
            return None;
        }
        let holds = ask.holds.min(known.map_or(0, |loan| loan.amount));
        let others = self.lent() - known.map_or(0, |loan| loan.amount);
        let over = holds > 0 && others + holds > part;
        let loan = Loan {
            number: ask.number,
            amount: holds,
            wants: ask.wants,
            until: known.filter(|_| over).map_or(until, |loan| loan.until),
        };
        self.loans.insert(borrower.clone(), loan);
        if ask.wants == 0 {
            self.loans.remove(borrower);
        }
        if over || ask.wants == 0 {
            return None;
        }
        let free = part.saturating_sub(others + holds);
        let target = self.fair_part(borrower, part).min(ask.wants);
        let amount = target.min(holds + free).max(holds);
        let loan = self.loans.get_mut(borrower)?;
        loan.amount = amount;
        Some(Grant {
            number: ask.number,
            amount,
            target,
        })
    }

    /// Returns the most that a borrower should have if the wants exceed
    /// `part`: whoever wants less than an even part gets that, and the others
    /// divide the rest evenly.
    fn fair_part(&self, borrower: &(Process, Incarnation), part: u32) -> u32 {
        let mut wants: Vec<u32> = self.loans.values().map(|loan| loan.wants).collect();
        wants.sort_unstable();
        let mut left = part;
        let mut others = u32::try_from(wants.len()).unwrap_or(u32::MAX);
        for want in wants {
            let level = left / others;
            if want > level {
                return level + u32::from(self.gets_rest(borrower, level, left % others));
            }
            left -= want;
            others -= 1;
        }
        part
    }

    /// Tells whether a borrower is among the `rest` who get one more than
    /// `level` in this turn.
    fn gets_rest(&self, borrower: &(Process, Incarnation), level: u32, rest: u32) -> bool {
        let hungry = self.loans.iter().filter(|(_, loan)| loan.wants > level);
        let hungry: Vec<_> = hungry.map(|(name, _)| name).collect();
        let Some(at) = hungry.iter().position(|name| *name == borrower) else {
            return false;
        };
        let rank = (at + self.turn) % hungry.len();
        u32::try_from(rank).is_ok_and(|rank| rank < rest)
    }
}
