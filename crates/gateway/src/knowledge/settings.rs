//! Applies settings while the entry serves.

use std::rc::Rc;

use super::SharedState;
use crate::configuration::Configuration;
use crate::options::Options;

impl SharedState {
    /// Applies reloaded settings.
    pub(crate) fn set_options(&self, options: Options) {
        self.freshness
            .borrow_mut()
            .set_bound(options.revocation_bound);
        self.retry_budgets
            .borrow_mut()
            .configure(options.retry_ratio);
        let mut known = self.options.borrow_mut();
        // Whether evacuations are followed is fixed at the start.
        let evacuation_bound = known
            .evacuation_bound
            .map(|before| options.evacuation_bound.unwrap_or(before));
        *known = Rc::new(Options {
            evacuation_bound,
            ..options
        });
        drop(known);
        if let Some(configuration) = self.configuration() {
            self.configure_groups(&configuration);
        }
    }

    /// Applies the configuration and the settings of overload control to the groups of ranks.
    pub(super) fn configure_groups(&self, configuration: &Configuration) {
        let options = self.options().overload;
        let mut fleet = self.fleet.borrow_mut();
        fleet.configure_groups(configuration, &options);
    }
}
