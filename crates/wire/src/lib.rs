//! Messages between the processes of cactusnotch.
//!
//! A link carries [`Body`] values. The crates of the decisions define most of the
//! messages; this crate adds the messages and envelopes that their drivers need.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod announcement;
mod body;
mod call;
pub mod claim;
mod dispatch;
pub mod group;
pub mod head;

pub use announcement::Announcement;
pub use body::Body;
pub use call::Call;
pub use dispatch::Dispatch;
pub use head::Head;
