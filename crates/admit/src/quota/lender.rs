//! The lender's side of the exchange.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;

use crate::quota::account::Account;
use crate::quota::plan::Plan;
use crate::quota::{Ask, Grant, Key, Options};

/// The lender's side of the exchange: the quota lent from its allotments of the caps.
#[derive(Debug, Default)]
pub(crate) struct Lender {
    accounts: Table<Key, Account>,
}

impl Lender {
    /// Handles a borrower's asks and returns the grants.
    pub(crate) fn handle_asks(
        &mut self,
        borrower: &(Process, Incarnation),
        asks: &[Ask],
        plan: &Plan,
        options: &Options,
        now: Instant,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        for ask in asks.iter().filter(|ask| plan.cap(&ask.key).is_some()) {
            let allotment = plan.allotment(&ask.key, now);
            let account = self
                .accounts
                .get_or_insert_with(ask.key.clone(), Account::default);
            account.expire(options.hold, now);
            grants.extend(account.handle_ask(borrower, ask, allotment, now + options.hold));
        }
        grants
    }

    /// Drops expired quota.
    pub(crate) fn tick(&mut self, options: &Options, now: Instant) {
        self.accounts.retain(|_, account| {
            account.expire(options.hold, now);
            !account.is_empty()
        });
    }
}
