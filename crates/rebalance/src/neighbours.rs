//! Finds the other agents of a service.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::configuration::Configuration;
use cactusnotch_gateway::store::{Codec, Error, Item, Kind, Store};

use cactusnotch_overload::{Mode, Model};

use crate::Shape;

/// The least time between two listings of the store. A stale listing costs a
/// tenth as much and suffices to find other agents.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Shares are given in thousandths.
const THOUSAND: f64 = 1_000.0;

/// The addresses of the other agents of a service, and the shape of its maps.
#[derive(Debug)]
pub(crate) struct Neighbours<C> {
    store: Store<C>,
    service: String,
    port: u16,
    own: SocketAddr,
    refreshed_at: Option<Instant>,
    pub(crate) agents: Vec<SocketAddr>,
    /// The data centres of all agents' hosts, by address.
    data_centres: Vec<(IpAddr, String)>,
    pub(crate) shape: Option<Shape>,
    /// The number of requests that one of the service's endpoints runs at once.
    pub(crate) slots: u32,
    /// The longest gap between events that the service's callers accept.
    pub(crate) max_event_gap: Option<Duration>,
    /// The services that overload control applies to.
    mode: Mode,
    /// The model of the service's forward pass, if overload control applies to it.
    pub(crate) model: Option<Model>,
}

impl<C: Codec> Neighbours<C> {
    pub(crate) fn new(store: SocketAddr, service: String, own: SocketAddr, mode: Mode) -> Self {
        Self {
            store: Store::new(store, Rc::default()),
            service,
            port: own.port(),
            own,
            refreshed_at: None,
            agents: Vec::new(),
            data_centres: Vec::new(),
            shape: None,
            slots: 0,
            max_event_gap: None,
            mode,
            model: None,
        }
    }

    /// Returns whether the store may be listed again.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.refreshed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL)
    }

    /// Lists the service's configuration and endpoints in the store.
    pub(crate) async fn refresh(&mut self, now: Instant) -> Result<(), Error> {
        self.refreshed_at = Some(now);
        if self.shape.is_none() {
            for change in self.store.list(Kind::Configuration, true).await?.changes {
                if let Ok(Some(Item::Configuration(configuration))) = change.item {
                    let service = configuration.service(&self.service);
                    let engine = service.and_then(|service| service.engine.as_ref());
                    self.shape = engine.and_then(|engine| engine.shape);
                    self.slots = engine.map_or(0, |engine| engine.slots);
                    self.max_event_gap = configuration.max_event_gap(&self.service);
                    self.model = self.model_of(&configuration);
                }
            }
        }
        let listing = self.store.list(Kind::Endpoints, true).await?;
        let (mut agents, mut data_centres) = if listing.cut.is_some() {
            // The agents that the listing lacks may still be there.
            (self.agents.clone(), self.data_centres.clone())
        } else {
            (Vec::new(), Vec::new())
        };
        for change in listing.changes {
            if let Ok(Some(Item::Endpoint(endpoint))) = change.item
                && endpoint.service == self.service
            {
                agents.push(SocketAddr::new(endpoint.address.ip(), self.port));
                data_centres.push((endpoint.address.ip(), endpoint.data_centre));
            }
        }
        agents.retain(|agent| *agent != self.own);
        agents.sort_unstable();
        agents.dedup();
        self.agents = agents;
        data_centres.sort_unstable();
        data_centres.dedup();
        self.data_centres = data_centres;
        Ok(())
    }

    /// Returns the model of the service's forward pass if overload control applies to it.
    fn model_of(&self, configuration: &Configuration) -> Option<Model> {
        let engine = configuration.service(&self.service)?.engine.as_ref()?;
        let (shape, max_event_gap) = (engine.shape?, self.max_event_gap?);
        configuration
            .controls_overload(&self.service, self.mode)
            .then_some(Model {
                slots: engine.slots,
                step: engine.step,
                per_request: engine.per_request,
                stride: engine.stride,
                expert_share: f64::from(shape.expert_part) / THOUSAND,
                max_event_gap,
            })
    }

    /// Returns the data centre of an agent's host, empty if it is unknown.
    pub(crate) fn data_centre(&self, agent: SocketAddr) -> &str {
        let found = self
            .data_centres
            .binary_search_by_key(&agent.ip(), |(host, _)| *host);
        found.map_or("", |at| self.data_centres[at].1.as_str())
    }
}
