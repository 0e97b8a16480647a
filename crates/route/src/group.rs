//! A set of endpoints that a selection may be restricted to.

use cactusnotch_derive::number;

/// A set of endpoints that a selection may be restricted to, numbered by the router's owner.
/// The default one holds the endpoints that were assigned to none.
#[number]
pub struct Group(pub u32);
