//! How a deployment's endpoints are asked and ordered.

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
    /// Do not begin a pass until told to.
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

/// An answer can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} can't be read: {detail}")]
pub struct Unreadable {
    /// What was asked for.
    pub what: &'static str,
    /// What is wrong with the answer.
    pub detail: String,
}

/// How a deployment's endpoints are asked and ordered.
pub trait Codec: 'static {
    /// Writes the question for the endpoint's state.
    fn state_request() -> Request<Bytes>;

    /// Writes the question for its counts.
    fn counts_request() -> Request<Bytes>;

    /// Writes the question for the experts that it holds.
    fn held_request() -> Request<Bytes>;

    /// Writes an order, which is to be refused if the endpoint has begun
    /// another number of orders than `sequence`, or lives in another epoch.
    fn order_request(order: &Order, sequence: u64, epoch: u64) -> Request<Bytes>;

    /// Reads the endpoint's state.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn decode_state(body: &[u8]) -> Result<State, Unreadable>;

    /// Reads its counts.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn decode_counts(body: &[u8]) -> Result<Counts, Unreadable>;

    /// Reads the experts that it holds in the map in force, by set, with the
    /// map's version.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn decode_held(body: &[u8]) -> Result<(u64, Vec<Vec<u16>>), Unreadable>;
}
