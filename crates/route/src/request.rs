//! The properties of a request that routing depends on.

use cactusnotch_base::name::{DataCentre, Endpoint};

use crate::{Group, Service};

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The requested service.
    pub service: &'a Service,
    /// The number of prompt tokens, possibly estimated; zero for a plain service.
    pub tokens: u32,
    /// The hashes of the prompt's blocks, from [`crate::prefix::blocks`].
    pub prefix: &'a [u64],
    /// The endpoints on which this request has already been attempted.
    pub tried: &'a [Endpoint],
    /// Whether the request may probe an ejected endpoint, which requires that it
    /// is idempotent.
    pub may_probe: bool,
    /// The data centres whose endpoints may receive the request; `None` allows all.
    pub allowed_data_centres: Option<&'a [DataCentre]>,
    /// The group whose endpoints may receive the request; `None` allows all.
    pub group: Option<Group>,
}
