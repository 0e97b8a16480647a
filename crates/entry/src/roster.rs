//! Derives an entry's routing table and links from the roster and the settings.

use std::net::SocketAddr;
use std::sync::Arc;

use cactusnotch_base::name::{DataCentre, Endpoint, Model, Process};
use cactusnotch_base::{Clock, Table};
use cactusnotch_member::{Role, State};
use cactusnotch_node::View;
use cactusnotch_route::{Group, Member, Service, subset};
use cactusnotch_settings::Resolved;

use crate::shared::Shared;

/// The slots of an endpoint whose agent has not announced them yet.
const DEFAULT_SLOTS: u32 = 8;

/// The least mean number of entries per endpoint. It enlarges the subsets when
/// a few entries serve many endpoints, so no endpoint stays idle.
const COVERAGE_MIN: usize = 2;

/// Updates the routing table and the links on each change of settings or roster.
pub(crate) async fn follow<C: Clock>(shared: Arc<Shared<C>>) {
    let mut views = shared.node.views();
    let own = shared.options.node.link.identity.process.clone();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let members = retain_subset(&own, &view, members(&view));
        let all = agents(&view);
        let wanted = members
            .iter()
            .filter_map(|member| Some((member.name.clone(), *all.get(&member.name)?)))
            .collect();
        shared.router().set_members(&members);
        shared.agents.set(&wanted, &shared);
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the address of the agent beside an endpoint.
pub(crate) fn agent(view: &View, endpoint: &Endpoint) -> Option<SocketAddr> {
    agents(view).get(endpoint).copied()
}

/// Retains the endpoints that the entry `own` uses: a subset of those of each
/// service. The subset is deterministic, so all entries compute the same one.
fn retain_subset(own: &Process, view: &View, members: Vec<Member>) -> Vec<Member> {
    let entries: Vec<&str> = view
        .roster
        .iter()
        .filter(|record| record.role == Role::Entry)
        .map(|record| record.process.as_str())
        .collect();
    let mut services: Vec<&Service> = members.iter().flat_map(|m| &m.services).collect();
    services.sort();
    services.dedup();
    let mut names: Table<Endpoint, ()> = Table::new();
    for service in services {
        let serving: Vec<&Member> = members
            .iter()
            .filter(|member| member.services.contains(service))
            .collect();
        let endpoints: Vec<&str> = serving.iter().map(|member| member.name.as_str()).collect();
        let least = COVERAGE_MIN * endpoints.len().div_ceil(entries.len().max(1));
        let size = subset_size(&view.settings, service).max(least);
        for at in subset::of(own.as_str(), &entries, &endpoints, size) {
            names.insert(serving[at].name.clone(), ());
        }
    }
    let mut members = members;
    members.retain(|member| names.contains(&member.name));
    members
}

/// Returns how many endpoints of a service one entry uses.
fn subset_size(settings: &Resolved, service: &Service) -> usize {
    let size = match service {
        Service::Path(_) => settings.system.subset_size,
        Service::Model(model) => {
            let groups = settings.groups().values();
            let serving = groups.filter(|group| group.model == model.as_str());
            let sizes = serving.map(|group| group.subset_size);
            sizes.max().unwrap_or(settings.system.subset_size)
        }
    };
    usize::try_from(size).unwrap_or(usize::MAX)
}

/// Returns the addresses for callers of the serving entries.
pub(crate) fn entries(view: &View) -> Vec<(SocketAddr, DataCentre)> {
    view.roster
        .iter()
        .filter(|record| record.role == Role::Entry && record.state == State::Serving)
        .filter_map(|record| Some((record.callers?, record.data_centre.clone())))
        .collect()
}

/// Returns the addresses of the agents, by endpoint.
fn agents(view: &View) -> Table<Endpoint, SocketAddr> {
    view.roster
        .iter()
        .filter_map(|record| Some((record.endpoint.clone()?, record.peers)))
        .collect()
}

/// Returns the endpoints on the roster with the services that the settings
/// assign to them.
fn members(view: &View) -> Vec<Member> {
    view.roster
        .iter()
        .filter_map(|record| {
            let name = record.endpoint.clone()?;
            Some(Member {
                services: services(&view.settings, &name),
                name,
                data_centre: record.data_centre.clone(),
                slots: DEFAULT_SLOTS,
                speed: 1.0,
                group: Group::default(),
            })
        })
        .collect()
}

/// Returns the services that the settings assign to an endpoint, sorted.
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
