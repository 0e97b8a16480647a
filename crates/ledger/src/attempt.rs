//! The identifier of an attempt.

use cactusnotch_derive::identifier;
use derive_more::{Display, From, Into};
use uuid::Uuid;

/// One attempt at a request: at most one dispatch to one agent.
///
/// An entry also uses an attempt as the identifier of its conversation with an
/// agent when it requests the pieces of a run started by another attempt.
#[identifier]
#[derive(Copy, Display, From, Into)]
#[serde(transparent)]
pub struct Attempt(pub Uuid);
