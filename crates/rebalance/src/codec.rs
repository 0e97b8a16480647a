//! The protocol between an agent and the endpoints of a deployment.

use bytes::Bytes;
use derive_more::{Display, Error};
use http::Request;

use crate::map::Map;
use crate::state::{Counts, State};

/// An order to the agent's own endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load the experts of a map.
    Prepare {
        /// The map's version.
        version: u64,
        /// The map.
        map: Map,
    },
    /// Switch to a loaded map as a pass begins.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Do not begin a pass until released.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Begin the pass that was held.
    Go {
        /// The pass.
        step: u64,
    },
}

/// An answer could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} could not be decoded: {detail}")]
pub struct Unreadable {
    /// What was requested.
    pub what: &'static str,
    /// What is wrong with the answer.
    pub detail: String,
}

/// Encodes requests to a deployment's endpoints and decodes their answers.
pub trait Codec: 'static {
    /// Returns the request for the endpoint's state.
    fn state_request() -> Request<Bytes>;

    /// Returns the request for the endpoint's counts.
    fn counts_request() -> Request<Bytes>;

    /// Returns the request for the experts that the endpoint holds.
    fn held_request() -> Request<Bytes>;

    /// Returns the request for an order. The endpoint refuses it if it has
    /// begun another number of orders than `sequence`, or is in another epoch.
    fn order_request(order: &Order, sequence: u64, epoch: u64) -> Request<Bytes>;

    /// Decodes the endpoint's state.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn decode_state(body: &[u8]) -> Result<State, Unreadable>;

    /// Decodes the endpoint's counts.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn decode_counts(body: &[u8]) -> Result<Counts, Unreadable>;

    /// Decodes the experts that the endpoint holds in the map in force, by set,
    /// with the map's version.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn decode_held(body: &[u8]) -> Result<(u64, Vec<Vec<u16>>), Unreadable>;
}
