//! The values of a model group.

use std::time::Duration;

use crate::resolved::Reader;
use crate::{Id, Key, Tree};

/// The entry in the list of allowed organisations that matches every one.
const EVERY: &str = "*";

/// The values of a model group with all inheritance resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// The node in the tree.
    pub node: Id,
    /// The model that the group serves; empty: none.
    pub model: String,
    /// The ranks that step together.
    pub ranks: u64,
    /// The experts of each layer.
    pub experts: u64,
    /// The layers that have experts.
    pub layers: u64,
    /// The endpoints by name.
    pub endpoints: Vec<String>,
    /// The prefix of the endpoints' names; empty: they are listed.
    pub endpoint_selector: String,
    /// Whether endpoints reject an order with an outdated fencing number.
    pub checks_fencing: bool,
    /// The requested adapter; empty: none.
    pub adapter: String,
    /// The requested version; empty: whichever the endpoints have loaded.
    pub version: String,
    /// The requested role; empty: whichever the endpoints have.
    pub role: String,
    /// The organisations that may use the model; `*` stands for all.
    pub allowed_organisations: Vec<String>,
    /// The maximum number of requests queued at one entry.
    pub queue_bound: u64,
    /// The load up to which an endpoint's cached prefix is preferred, as a
    /// multiple of the mean.
    pub affinity_bound: f64,
    /// The number of endpoints that one entry balances over.
    pub subset_size: u64,
    /// How long a planned stop waits for requests in flight.
    pub drain_time: Duration,
    /// The weight of step-time skew.
    pub skew_weight: f64,
    /// The weight of the cost of moving experts.
    pub rebalancing_weight: f64,
    /// The time within which the gain from moving experts has to exceed its cost.
    pub payback_horizon: Duration,
    /// The share of the weight store's rate that moving experts may use.
    pub weight_store_share: f64,
}

impl Group {
    pub(crate) fn new(tree: &Tree, id: &Id) -> Self {
        let at = Reader::new(tree, id);
        Self {
            node: id.clone(),
            model: at.text(Key::Model),
            ranks: at.integer(Key::Ranks),
            experts: at.integer(Key::Experts),
            layers: at.integer(Key::Layers),
            endpoints: at.names(Key::Endpoints),
            endpoint_selector: at.text(Key::EndpointSelector),
            checks_fencing: at.text(Key::EndpointFencing) == "checked",
            adapter: at.text(Key::Adapter),
            version: at.text(Key::Version),
            role: at.text(Key::Role),
            allowed_organisations: at.names(Key::AllowedOrganisations),
            queue_bound: at.integer(Key::QueueBound),
            affinity_bound: at.fraction(Key::AffinityBound),
            subset_size: at.integer(Key::SubsetSize),
            drain_time: at.duration(Key::DrainTime),
            skew_weight: at.fraction(Key::SkewWeight),
            rebalancing_weight: at.fraction(Key::RebalancingWeight),
            payback_horizon: at.duration(Key::PaybackHorizon),
            weight_store_share: at.fraction(Key::WeightStoreShare),
        }
    }

    /// Returns whether `organisation` may use the model.
    #[must_use]
    pub fn allows(&self, organisation: &str) -> bool {
        self.allowed_organisations
            .iter()
            .any(|name| name == EVERY || name == organisation)
    }

    /// Returns whether the endpoint `name` belongs to the group.
    #[must_use]
    pub fn includes(&self, name: &str) -> bool {
        let selector = self.endpoint_selector.as_str();
        let is_selected = !selector.is_empty() && name.starts_with(selector);
        is_selected || self.endpoints.iter().any(|listed| listed == name)
    }
}
