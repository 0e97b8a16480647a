//! An endpoint as it registered itself.

use std::net::SocketAddr;

use cactusnotch_derive::message;

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
}
