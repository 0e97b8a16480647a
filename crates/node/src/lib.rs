//! Keeps the settings and the roster of a cactusnotch process up to date.
//!
//! [`Node`] drives the state machine of `cactusnotch-spread`: it sends its
//! messages over links, makes its calls to the platform and applies the revisions
//! that it receives. The rest of the process reads the result as a [`View`].
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
