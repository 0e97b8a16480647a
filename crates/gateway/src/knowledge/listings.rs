//! Applies listings of the store.

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use super::SharedState;
use crate::store::{Change, Kind};

impl SharedState {
    /// Applies a complete listing of one kind of objects.
    pub(crate) fn replace(
        &self,
        kind: Kind,
        changes: Vec<Change>,
        position: Position,
        now: Instant,
    ) {
        let named = |name: &str| changes.iter().any(|change| change.name == name);
        match kind {
            Kind::Configuration => {}
            Kind::Endpoints => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.drop_unlisted(named);
                let missing: Vec<_> = fleet
                    .iter()
                    .map(|endpoint| endpoint.instance.clone())
                    .filter(|instance| !named(instance))
                    .collect();
                for instance in missing {
                    tracing::info!(
                        endpoint = instance,
                        %position,
                        "endpoint missing from the listing"
                    );
                    fleet.remove(&instance, self.outage.get().kept_until(now), now);
                }
            }
            Kind::Entries => {
                if !named(&self.options.borrow().host) {
                    self.unregistered.notify_one();
                }
            }
            Kind::Evacuations => {
                self.replace_evacuations(&changes, position, now);
                return;
            }
        }
        self.merge(kind, changes, position, now);
        if kind == Kind::Entries {
            self.complete_records(now);
        }
    }

    /// Applies a listing that may lack objects: those that it lacks stay as they are.
    pub(crate) fn merge(&self, kind: Kind, changes: Vec<Change>, position: Position, now: Instant) {
        for change in changes {
            self.apply(kind, change, position, now);
        }
        let (endpoints_listed, entries_listed) = self.listed.get();
        match kind {
            Kind::Endpoints => self.listed.set((true, entries_listed)),
            Kind::Entries => {
                self.listed.set((endpoints_listed, true));
                if !entries_listed {
                    self.entries_listed.notify_one();
                }
            }
            Kind::Configuration | Kind::Evacuations => {}
        }
    }
}
