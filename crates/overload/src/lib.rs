//! Overload control for groups of ranks.
//!
//! The leader of a group limits the number of its running requests to a [`Ceiling`] at which
//! streams stay on time, predicted by a [`Model`] of a forward pass. Entries let each
//! [`Class`] of requests fill a part of it. The crate does no I/O; time and the random
//! source are passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allowance;
pub mod candidate;
pub mod ceiling;
pub mod class;
pub mod limit;
pub mod mode;
pub mod model;
pub mod occupancy;
pub mod options;

mod growth;

pub use allowance::Allowance;
pub use candidate::Candidate;
pub use ceiling::Ceiling;
pub use class::Class;
pub use limit::Limit;
pub use mode::Mode;
pub use model::Model;
pub use occupancy::Occupancy;
pub use options::Options;
