//! The addresses that callers may use.

use cactusnotch_base::Clock;
use cactusnotch_base::name::DataCentre;
use hyper::Response;
use serde::Serialize;

use crate::body::Body;
use crate::models::json;
use crate::roster;
use crate::shared::Shared;

#[derive(Serialize)]
struct Addresses {
    addresses: Vec<Address>,
    lifetime_seconds: u64,
}

#[derive(Serialize)]
struct Address {
    address: String,
    data_centre: DataCentre,
}

/// Lists the entries that accept callers' connections, nearest first, and for
/// how long callers may cache the list.
pub(crate) fn answer<C: Clock>(shared: &Shared<C>) -> Response<Body> {
    let own = &shared.options.node.link.identity.data_centre;
    let view = shared.node.view();
    let mut addresses: Vec<Address> = roster::entries(&view)
        .into_iter()
        .map(|(address, data_centre)| Address {
            address: address.to_string(),
            data_centre,
        })
        .collect();
    // A random order within each data centre spreads callers over the entries.
    rand::seq::SliceRandom::shuffle(addresses.as_mut_slice(), &mut rand::rng());
    addresses.sort_by_key(|address| address.data_centre != *own);
    let lifetime = view.settings.system.address_lifetime;
    json(&Addresses {
        addresses,
        lifetime_seconds: lifetime.as_secs(),
    })
}
