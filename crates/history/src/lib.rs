//! The edit history of the settings tree, which is totally ordered.
//!
//! Edits become numbered revisions. Each is created in the platform's object
//! API only if its number is free, is validated against the revision before it
//! and carries the digest of that revision. [`Replica`] is the state kept by
//! every process; its revision never decreases. [`Submission`], [`Catchup`] and
//! [`Compaction`] decide without I/O which calls to make; [`Writer`] and
//! [`Reader`] make them on a [`cactusnotch_objects::Store`].
//!
//! [`Compaction`] deletes old entries. The floor is the revision up to which
//! entries may have been deleted.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod call;
mod catchup;
mod compaction;
mod digest;
mod entry;
mod fetched;
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
pub use compaction::Compaction;
pub use digest::Digest;
pub use entry::Entry;
pub use fetched::{Fetched, Stored};
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
