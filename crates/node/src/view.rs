//! The settings and the roster in force in a process.

use std::sync::Arc;

use cactusnotch_base::number::Revision;
use cactusnotch_member::Roster;
use cactusnotch_settings::{Resolved, Tree};

/// The settings and the roster in force in a process at one moment.
#[derive(Debug, Clone)]
pub struct View {
    /// The revision in force in this process.
    pub revision: Revision,
    /// The tree after that revision.
    pub tree: Arc<Tree>,
    /// Its values, with all inheritance resolved.
    pub settings: Arc<Resolved>,
    /// The members.
    pub roster: Arc<Roster>,
}
