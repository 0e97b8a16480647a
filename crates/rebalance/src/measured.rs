//! What a leader has measured for the limit of its group's requests.

use cactusnotch_overload::Controller;

/// What a leader has measured for the limit of its group's requests. It belongs to the
/// engine and the demand, not to the epoch.
#[derive(Debug)]
pub(crate) struct Measured {
    pub(crate) controller: Controller,
    /// The skew that demand shifts usually leave, 1 for even ranks; `None` before the first.
    pub(crate) shift_skew: Option<f64>,
}
