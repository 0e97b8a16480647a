//! The one total order over edits of the settings tree.
//!
//! Edits become numbered revisions, each created in the platform's object API
//! only if its number is free, each judged against the revision before it and
//! each carrying that revision's digest. [`Replica`] is the state that every
//! process keeps; it never goes back. [`Submission`], [`Catchup`] and [`Fold`]
//! decide without I/O which calls to make; [`Writer`] and [`Reader`] make them
//! on a [`cactusnotch_objects::Store`].
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod call;
mod catchup;
mod digest;
mod entry;
mod fetched;
mod fold;
mod listing;
mod offer;
mod options;
mod port;
pub mod reader;
mod refusal;
mod replica;
mod snapshot;
mod submission;
mod summary;
mod touch;
mod verdict;
mod writer;

pub use call::{Call, Reply, Step};
pub use catchup::Catchup;
pub use digest::Digest;
pub use entry::Entry;
pub use fetched::{Fetched, Stored};
pub use fold::Fold;
pub use listing::{Listing, Row};
pub use offer::{Answer, Offer};
pub use options::Options;
pub use port::perform;
pub use reader::{Reader, fetch};
pub use refusal::Refusal;
pub use replica::Replica;
pub use snapshot::{Snapshot, Validation};
pub use submission::Submission;
pub use summary::Summary;
pub use touch::{Aspect, Touch};
pub use verdict::Verdict;
pub use writer::Writer;
