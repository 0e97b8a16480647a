//! Changes of endpoints, and how entries forward them to each other.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use super::SharedState;
use crate::endpoint::Endpoint;
use crate::peer::Changes;
use crate::store::{Change, Item, Kind};

impl SharedState {
    /// Applies an endpoint's registration.
    pub(super) fn insert_endpoint(&self, endpoint: Endpoint, position: Position, now: Instant) {
        let (service, id) = (endpoint.service.clone(), endpoint.id.clone());
        let address = endpoint.address;
        let mut fleet = self.fleet.borrow_mut();
        if fleet.insert(endpoint, now) {
            tracing::info!(
                endpoint = id,
                service,
                leaving = !fleet.takes_work(&id),
                %position,
                "endpoint known"
            );
            drop(fleet);
            self.confirm_crashes(address, &id, now);
        }
    }

    /// Applies changes of endpoints that another entry forwarded, unless
    /// earlier changes are missing here.
    pub(crate) fn apply_changes(&self, changes: Changes, now: Instant) {
        let Changes {
            from,
            to,
            returned_ago,
            endpoints,
        } = changes;
        if !self.lag.progress().continues(from, to) {
            self.note_position(to, now);
            return;
        }
        let returned =
            returned_ago.and_then(|ago| now.checked_sub(Duration::from_millis(ago.into())));
        if let Some(returned) = returned {
            self.note_store_return(returned);
        }
        for (name, endpoint) in endpoints {
            let item = Ok(endpoint.map(Item::Endpoint));
            self.apply(Kind::Endpoints, Change { name, item }, to, now);
        }
        self.lag.advance(to);
    }

    /// Returns changes of endpoints in the form that is forwarded to other
    /// entries.
    pub(crate) fn changes_for_peers(
        &self,
        from: Position,
        to: Position,
        endpoints: Vec<(String, Option<Endpoint>)>,
        now: Instant,
    ) -> Changes {
        Changes {
            from,
            to,
            returned_ago: self.returned_ago(now),
            endpoints,
        }
    }
}
