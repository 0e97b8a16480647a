//! An endpoint as it registered itself in the store.

use std::net::SocketAddr;

use cactusnotch_derive::{message, number};
use cactusnotch_position::Position;

/// Start time of an endpoint, in Unix milliseconds of its own clock.
#[number]
pub struct StartTime(pub u64);

/// An endpoint as it registered itself in the store.
#[message]
#[derive(Eq)]
pub struct Endpoint {
    /// The unique id of this incarnation of the endpoint.
    pub id: String,
    /// The name of its registration. An endpoint may keep it across a restart, but keeps no
    /// state.
    pub instance: String,
    /// Its start time, if it states one.
    pub born: Option<StartTime>,
    /// The service that it serves.
    pub service: String,
    /// The address that it accepts requests on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time at registration, in milliseconds, during which it accepts few
    /// requests per second. Zero once it is warmed up.
    pub cold_ms: u32,
    /// The position in the store at which this incarnation registered itself.
    pub registered: Position,
}

impl Endpoint {
    /// Returns whether `other` must have terminated because this incarnation runs: an
    /// address is used by one process at a time, and a registration describes one
    /// incarnation. Registrations that were read in different eras of the store are not
    /// ordered.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let at_address = self.address == other.address && self.registered > other.registered;
        self.id != other.id && (at_address || self.follows(other))
    }

    /// Returns whether this endpoint is leaving although its registration `copy` of a later
    /// era does not say so, since the store was restored from an older copy.
    #[must_use]
    pub fn stays_leaving(&self, copy: &Self) -> bool {
        self.leaving && self.registered.era() < copy.registered.era()
    }

    /// Returns whether this is a later incarnation of the same registration.
    fn follows(&self, other: &Self) -> bool {
        self.instance == other.instance && self.born > other.born
    }
}
