//! An endpoint as it registered itself.

use std::net::SocketAddr;

use cactusnotch_derive::message;

use crate::store::Revision;

/// An endpoint as it registered itself.
#[message]
#[derive(Eq)]
pub struct Endpoint {
    /// The name of this incarnation of the endpoint.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests since it is about to leave.
    pub leaving: bool,
    /// The store's revision at which this incarnation registered itself.
    pub registered: Revision,
}

impl Endpoint {
    /// Tells whether this is a later incarnation at the address of `other`, which has
    /// ended then: an address is used by one process at a time.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.address == other.address && self.id != other.id && self.registered > other.registered
    }
}
