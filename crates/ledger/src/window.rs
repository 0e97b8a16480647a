//! The agent on which an attempt may start, and its latest start.

use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::identifier;

use crate::{Age, Attempt};

/// The agent to which a key or an attempt is bound.
#[identifier]
pub struct Terms {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The incarnation of the endpoint's agent.
    pub incarnation: Incarnation,
    /// An age that the agent reported before the key was bound to it.
    pub age: Age,
}

/// The period in which an attempt may start.
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
    /// The agent that may start the attempt, and its latest start.
    pub window: Window,
}
