//! The routing decision's view of a request.

use cactusnotch_base::name::{DataCentre, Endpoint};

use crate::Service;

/// The routing decision's view of a request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// What the request asks for.
    pub service: &'a Service,
    /// The tokens of its prompt, or an estimate; zero for a plain service.
    pub tokens: u32,
    /// The hashes of its prompt's blocks, from [`crate::prefix::blocks`].
    pub prefix: &'a [u64],
    /// The endpoints that this request has been tried at already.
    pub tried: &'a [Endpoint],
    /// Whether the request may be used to try an ejected endpoint; it should
    /// be idempotent for that.
    pub may_probe: bool,
    /// The data centres whose endpoints may get it, `None` for all.
    pub allowed_data_centres: Option<&'a [DataCentre]>,
}
