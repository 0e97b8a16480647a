//! Charges retries to the budget.

use cactusnotch_telemetry::metric;

use super::SharedState;
use crate::budget::Balance;

impl SharedState {
    /// Returns what the budget of a service has earned and spent, and counts a retry that it
    /// denies now.
    pub(crate) fn ask_retry_budget(&self, service: &str) -> Balance {
        let balance = self.retry_budgets.borrow_mut().balance(service);
        if !balance.allows() {
            metrics::counter!(metric::GATEWAY_RETRIES_DENIED).increment(1);
        }
        balance
    }

    /// Charges a retry to the budget if it allows one now; returns the balance before.
    pub(crate) fn charge_retry(&self, service: &str) -> Balance {
        let balance = self.ask_retry_budget(service);
        if balance.allows() {
            metrics::counter!(metric::GATEWAY_REPEATS).increment(1);
            self.retry_budgets.borrow_mut().try_spend(service);
        }
        balance
    }
}
