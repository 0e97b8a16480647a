//! Where the other agents of a service are.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::store::{Codec, Error, Item, Kind, Store};

use crate::Shape;

/// The least time between two looks into the store. A stale listing is a tenth
/// of the price and good enough to find a neighbour.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Where the other agents of a service are, and the shape of its maps.
#[derive(Debug)]
pub(crate) struct Neighbours<C> {
    store: Store<C>,
    service: String,
    port: u16,
    own: SocketAddr,
    looked: Option<Instant>,
    pub(crate) agents: Vec<SocketAddr>,
    /// The data centres of all agents' hosts, by address.
    centres: Vec<(IpAddr, String)>,
    pub(crate) shape: Option<Shape>,
    /// The requests that one of the service's endpoints runs at once.
    pub(crate) slots: u32,
    /// The longest pause between events that the service's callers accept.
    pub(crate) pause: Option<Duration>,
}

impl<C: Codec> Neighbours<C> {
    pub(crate) fn new(store: SocketAddr, service: String, own: SocketAddr) -> Self {
        Self {
            store: Store::new(store, Rc::default()),
            service,
            port: own.port(),
            own,
            looked: None,
            agents: Vec::new(),
            centres: Vec::new(),
            shape: None,
            slots: 0,
            pause: None,
        }
    }

    /// Tells whether the store may be asked again.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.looked
            .is_none_or(|at| now.saturating_duration_since(at) >= LOOK_EVERY)
    }

    /// Asks the store.
    pub(crate) async fn look(&mut self, now: Instant) -> Result<(), Error> {
        self.looked = Some(now);
        if self.shape.is_none() {
            for change in self.store.list(Kind::Configuration, true).await?.changes {
                if let Ok(Some(Item::Configuration(configuration))) = change.item {
                    let service = configuration.service(&self.service);
                    let engine = service.and_then(|service| service.engine.as_ref());
                    self.shape = engine.and_then(|engine| engine.shape);
                    self.slots = engine.map_or(0, |engine| engine.slots);
                    self.pause = configuration.pause(&self.service);
                }
            }
        }
        let mut agents = Vec::new();
        let mut centres = Vec::new();
        for change in self.store.list(Kind::Endpoints, true).await?.changes {
            if let Ok(Some(Item::Endpoint(endpoint))) = change.item
                && endpoint.service == self.service
            {
                agents.push(SocketAddr::new(endpoint.address.ip(), self.port));
                centres.push((endpoint.address.ip(), endpoint.data_centre));
            }
        }
        agents.retain(|agent| *agent != self.own);
        agents.sort_unstable();
        agents.dedup();
        self.agents = agents;
        centres.sort_unstable();
        self.centres = centres;
        Ok(())
    }

    /// Returns the data centre of an agent's host, empty if that isn't known.
    pub(crate) fn data_centre(&self, agent: SocketAddr) -> &str {
        let found = self
            .centres
            .binary_search_by_key(&agent.ip(), |(host, _)| *host);
        found.map_or("", |at| self.centres[at].1.as_str())
    }
}
