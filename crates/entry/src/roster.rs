//! What the roster and the settings mean for an entry's requests.

use std::net::SocketAddr;
use std::sync::Arc;

use cactusnotch_base::name::{DataCentre, Endpoint, Model};
use cactusnotch_base::{Clock, Table};
use cactusnotch_member::{Role, State};
use cactusnotch_node::View;
use cactusnotch_route::{Member, Service};
use cactusnotch_settings::Resolved;

use crate::shared::Shared;

/// The requests that an endpoint runs at once until it has said so itself.
const SLOTS_ASSUMED: u32 = 8;

/// Keeps the routing table and the links in line with settings and roster.
pub(crate) async fn follow<C: Clock>(shared: Arc<Shared<C>>) {
    let mut views = shared.node.views();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        shared.router().set_members(&members(&view));
        shared.agents.set(&agents(&view), &shared);
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the callers' addresses of the entries that serve.
pub(crate) fn entries(view: &View) -> Vec<(SocketAddr, DataCentre)> {
    view.roster
        .iter()
        .filter(|record| record.role == Role::Entry && record.state == State::Serving)
        .filter_map(|record| Some((record.callers?, record.data_centre.clone())))
        .collect()
}

/// Returns the addresses of the agents, by their endpoint.
fn agents(view: &View) -> Table<Endpoint, SocketAddr> {
    view.roster
        .iter()
        .filter_map(|record| Some((record.endpoint.clone()?, record.peers)))
        .collect()
}

/// Returns the endpoints on the roster with what they serve according to the
/// settings.
fn members(view: &View) -> Vec<Member> {
    view.roster
        .iter()
        .filter_map(|record| {
            let name = record.endpoint.clone()?;
            Some(Member {
                services: services(&view.settings, &name),
                name,
                data_centre: record.data_centre.clone(),
                slots: SLOTS_ASSUMED,
                speed: 1.0,
            })
        })
        .collect()
}

/// Returns what the settings let an endpoint serve, in order.
fn services(settings: &Resolved, endpoint: &Endpoint) -> Vec<Service> {
    let models = settings
        .groups()
        .values()
        .filter(|group| !group.model.is_empty() && group.includes(endpoint.as_str()))
        .map(|group| Service::Model(Model::new(group.model.clone())));
    let paths = settings
        .organisations()
        .values()
        .flat_map(|organisation| &organisation.routes)
        .filter(|route| route.endpoints.iter().any(|name| name == endpoint.as_str()))
        .map(|route| Service::Path(route.prefix.clone()));
    let mut services: Vec<Service> = models.chain(paths).collect();
    services.sort();
    services.dedup();
    services
}
