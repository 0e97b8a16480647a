//! What a process knows of the settings and the roster.

use std::sync::Arc;

use cactusnotch_base::number::Revision;
use cactusnotch_member::Roster;
use cactusnotch_settings::{Resolved, Tree};

/// What a process knows of the settings and the roster at one moment.
#[derive(Debug, Clone)]
pub struct View {
    /// The revision in force in this process.
    pub revision: Revision,
    /// The tree after that revision.
    pub tree: Arc<Tree>,
    /// Its values, with all inheritance worked out.
    pub settings: Arc<Resolved>,
    /// Who is a member.
    pub roster: Arc<Roster>,
}
