//! The home's side of the exchange.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;

use crate::quota::account::Account;
use crate::quota::plan::Plan;
use crate::quota::{Ask, Grant, Key, Options};

/// The home's side of the exchange: the loans from its parts of the caps.
#[derive(Debug, Default)]
pub(crate) struct Lender {
    accounts: Table<Key, Account>,
}

impl Lender {
    /// Answers the asks of a borrower.
    pub(crate) fn ask(
        &mut self,
        borrower: &(Process, Incarnation),
        asks: &[Ask],
        plan: &Plan,
        options: &Options,
        now: Instant,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        for ask in asks.iter().filter(|ask| plan.cap(&ask.key).is_some()) {
            let part = plan.part(&ask.key, now);
            let account = self
                .accounts
                .get_or_insert_with(ask.key.clone(), Account::default);
            account.expire(options.hold, now);
            grants.extend(account.ask(borrower, ask, part, now + options.hold));
        }
        grants
    }

    /// Forgets the loans that have ended.
    pub(crate) fn tick(&mut self, options: &Options, now: Instant) {
        self.accounts.retain(|_, account| {
            account.expire(options.hold, now);
            !account.is_empty()
        });
    }
}
