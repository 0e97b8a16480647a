//! The members of a service's router.

use cactusnotch_base::name;
use cactusnotch_route::{self as route, Member, State};

use super::Fleet;
use super::row::Row;
use crate::endpoint::Endpoint;

impl Fleet {
    /// Keeps an endpoint until the configuration names its service.
    pub(super) fn park(&mut self, endpoint: Endpoint) {
        if self.unnamed.get(&endpoint.id) == Some(&endpoint) {
            return;
        }
        // Before the first configuration no service is named.
        if !self.routers.is_empty() {
            tracing::info!(
                endpoint = endpoint.id,
                service = endpoint.service,
                address = %endpoint.address,
                registered = %endpoint.registered,
                "endpoint of an unnamed service not used"
            );
        }
        self.unnamed.insert(endpoint.id.clone(), endpoint);
    }

    /// Removes and returns the endpoints of services that the configuration has come to name.
    pub(crate) fn take_named(&mut self) -> Vec<Endpoint> {
        let mut named = Vec::new();
        let routers = &self.routers;
        self.unnamed.retain(|_, endpoint| {
            let is_named = routers.contains(&endpoint.service);
            if is_named {
                named.push(endpoint.clone());
            }
            !is_named
        });
        named
    }

    /// Updates the members of a service's router and their states.
    pub(super) fn refresh(&mut self, service: &str) {
        let own = self.rows.values().filter(|row| row.is_used());
        let own = own.filter(|row| row.endpoint.service == service);
        let own: Vec<_> = own
            .map(|row| {
                (
                    member(row),
                    !self.takes_new_work(&row.endpoint),
                    self.withheld(&row.endpoint.instance),
                )
            })
            .collect();
        let Some(router) = self.routers.get_mut(service) else {
            return;
        };
        let known = own.iter().map(|(member, ..)| router.state(&member.name));
        let known: Vec<_> = known.collect();
        let members: Vec<_> = own.iter().map(|(member, ..)| member.clone()).collect();
        router.set_members(&members);
        for ((member, leaving, withheld), known) in own.iter().zip(known) {
            let state = match known {
                _ if *leaving => State::Leaving,
                Some(State::Unreachable) => State::Unreachable,
                _ => State::Serving,
            };
            router.set_state(&member.name, state);
            router.withhold(&member.name, *withheld);
        }
    }
}

/// Returns the router's name of a service.
pub(super) fn kind(service: &str) -> route::Service {
    route::Service::Path(service.to_owned())
}

/// Returns the router's member of an endpoint.
fn member(row: &Row) -> Member {
    let endpoint = &row.endpoint;
    Member {
        name: name::Endpoint::new(endpoint.id.clone()),
        data_centre: name::DataCentre::new(endpoint.data_centre.clone()),
        services: vec![kind(&endpoint.service)],
        slots: endpoint.slots.max(1),
        speed: 1.0,
        group: row.group,
    }
}
