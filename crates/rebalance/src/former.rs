//! The demand that a leader had estimated before its group formed again.

use crate::estimate::Estimate;

/// The demand that a leader had estimated before its group formed again.
#[derive(Debug, Clone)]
pub(crate) struct Former {
    /// The group.
    pub(crate) group: String,
    pub(crate) estimate: Estimate,
}
