//! The part of every process of cactusnotch that follows settings and roster.
//!
//! [`Node`] drives the spread decision: it carries its messages over links,
//! makes its calls to the platform and puts the revisions that it learns in
//! force. [`View`] is what the rest of the process reads.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod calls;
mod courier;
mod driver;
mod options;
mod payload;
mod view;

pub use driver::Node;
pub use options::Options;
pub use view::View;
