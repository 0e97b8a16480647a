//! What a request wants of its endpoint.

use cactusnotch_base::name;

/// What a request wants of its endpoint beside the service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Criteria<'a> {
    /// The tokens of its prompt.
    pub(crate) tokens: u32,
    /// The endpoints that it has been sent to.
    pub(crate) tried: &'a [name::Endpoint],
    /// Whether it may try an endpoint that has failed.
    pub(crate) may_probe: bool,
    /// The data centres that it may be sent to, `None` for all.
    pub(crate) within: Option<&'a [name::DataCentre]>,
}
