//! The criteria by which an endpoint is chosen for a request.

use cactusnotch_base::name;

/// The criteria by which an endpoint is chosen for a request, besides the
/// service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Criteria<'a> {
    /// Number of tokens in its prompt.
    pub(crate) tokens: u32,
    /// The endpoints that it has already been sent to.
    pub(crate) tried: &'a [name::Endpoint],
    /// Whether it only goes to groups that have capacity for it.
    pub(crate) is_bound: bool,
    /// Whether it may be sent to an endpoint that has failed before.
    pub(crate) may_probe: bool,
    /// The data centres that it may be sent to, `None` for all.
    pub(crate) within: Option<&'a [name::DataCentre]>,
}
