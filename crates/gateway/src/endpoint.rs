//! An endpoint as it registered itself.

use std::net::SocketAddr;

use cactusnotch_derive::{message, number};
use cactusnotch_position::Position;

/// When an endpoint started, in Unix milliseconds of its own clock.
#[number]
pub struct StartTime(pub u64);

/// An endpoint as it registered itself.
#[message]
#[derive(Eq)]
pub struct Endpoint {
    /// The name of this life of the endpoint, which no other life has.
    pub id: String,
    /// The name under which it is registered. One that starts again may keep it, and knows
    /// nothing of before.
    pub instance: String,
    /// When it started, if it says so.
    pub born: Option<StartTime>,
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
    /// How much longer it is cold, in milliseconds, as its registration says: it takes few
    /// requests a second until then. Zero once it is warm.
    pub cold_ms: u32,
    /// The position at which this incarnation registered itself.
    pub registered: Position,
}

impl Endpoint {
    /// Tells whether `other` has ended since this one lives: an address is used by one
    /// process at a time, and a registration tells of one life. Of registrations that were
    /// read in two eras of the store neither is the later one.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let at_address = self.address == other.address && self.registered > other.registered;
        self.id != other.id && (at_address || self.follows(other))
    }

    /// Tells whether this is known to leave though the `copy` that the store came back from
    /// doesn't say so: it was made before.
    #[must_use]
    pub fn stays_leaving(&self, copy: &Self) -> bool {
        self.leaving && self.registered.era() < copy.registered.era()
    }

    /// Tells whether this is a later life of the same registration.
    fn follows(&self, other: &Self) -> bool {
        self.instance == other.instance && self.born > other.born
    }
}
