//! The identity of an attempt.

use cactusnotch_derive::identifier;
use derive_more::{Display, From, Into};
use uuid::Uuid;

/// One attempt at a request: at most one dispatch to one agent.
///
/// An entry also names its conversation with an agent by an attempt, when it
/// asks for the pieces of a run that another attempt started.
#[identifier]
#[derive(Copy, Display, From, Into)]
#[serde(transparent)]
pub struct Attempt(pub Uuid);
