//! Where and until when an attempt may start.

use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::identifier;

use crate::{Age, Attempt};

/// The one agent that a key or an attempt is bound to.
#[identifier]
pub struct Terms {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The incarnation of the endpoint's agent.
    pub incarnation: Incarnation,
    /// An age that the agent had reported before it was named here.
    pub age: Age,
}

/// When an attempt may start.
#[identifier]
pub struct Window {
    /// The agent, and its age when the key was bound to it.
    pub terms: Terms,
    /// The age after which the agent refuses to start the attempt.
    pub start_by: Age,
}

/// The attempt that holds a key.
#[identifier]
pub struct Holder {
    /// The attempt.
    pub attempt: Attempt,
    /// The agent that may start it, and when.
    pub window: Window,
}
