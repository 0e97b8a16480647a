//! What an entry knows of the settings and the roster.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactusnotch_base::Table;
use cactusnotch_base::name::{DataCentre, Endpoint, Model, Process};
use cactusnotch_base::number::Revision;
use cactusnotch_history::Replica;
use cactusnotch_member::{Record, Role, State};
use cactusnotch_route::{Member, Service};
use cactusnotch_settings::Resolved;

/// The requests that an endpoint runs at once until it has said so itself.
const SLOTS_ASSUMED: u32 = 8;

#[derive(Debug)]
struct Inner {
    revision: Revision,
    settings: Arc<Resolved>,
    roster: Table<Process, Record>,
}

/// What an entry knows of the settings and the roster.
#[derive(Debug)]
pub(crate) struct Control {
    inner: Mutex<Inner>,
}

impl Default for Control {
    fn default() -> Self {
        let replica = Replica::new();
        Self {
            inner: Mutex::new(Inner {
                revision: replica.revision(),
                settings: Arc::new(Resolved::new(replica.tree())),
                roster: Table::new(),
            }),
        }
    }
}

impl Control {
    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<Resolved> {
        Arc::clone(&self.lock().settings)
    }

    /// Returns the revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Puts the replica's newest revision in force.
    pub(crate) fn apply(&self, replica: &Replica) {
        let settings = Arc::new(Resolved::new(replica.tree()));
        let mut inner = self.lock();
        if replica.revision() >= inner.revision {
            inner.revision = replica.revision();
            inner.settings = settings;
        }
    }

    /// Replaces the roster.
    pub(crate) fn set_roster(&self, roster: Table<Process, Record>) {
        self.lock().roster = roster;
    }

    /// Returns the callers' addresses of the entries that serve.
    pub(crate) fn entries(&self) -> Vec<(SocketAddr, DataCentre)> {
        self.lock()
            .roster
            .values()
            .filter(|record| record.role == Role::Entry && record.state == State::Serving)
            .filter_map(|record| Some((record.callers?, record.data_centre.clone())))
            .collect()
    }

    /// Returns the addresses of the agents, by their endpoint.
    pub(crate) fn agents(&self) -> Table<Endpoint, SocketAddr> {
        self.lock()
            .roster
            .values()
            .filter_map(|record| Some((record.endpoint.clone()?, record.peers)))
            .collect()
    }

    /// Returns the endpoints on the roster with what they serve according to
    /// the settings.
    pub(crate) fn members(&self) -> Vec<Member> {
        let inner = self.lock();
        inner
            .roster
            .values()
            .filter_map(|record| {
                let name = record.endpoint.clone()?;
                Some(Member {
                    services: services(&inner.settings, &name),
                    name,
                    data_centre: record.data_centre.clone(),
                    slots: SLOTS_ASSUMED,
                    speed: 1.0,
                })
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
