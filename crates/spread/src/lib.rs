//! Distributes numbered revisions and the roster to every process, and tracks
//! where they are in force.
//!
//! A [`Node`] is the state machine of one process. It performs no I/O:
//! messages, answers of the platform and ticks are its inputs, [`Command`]s its
//! outputs. A few watchers in each data centre read the platform. All other
//! processes receive updates along a tree within the data centre, and exchanges
//! with random peers repair what the tree misses. Acknowledgements are
//! aggregated up the same tree, one report per subtree.
//! `docs/design/spread.md` compares the alternatives and argues why a revision
//! is never reported as in force while a process lacks it.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod aggregate;
mod bucket;
mod command;
mod journal;
mod log;
mod message;
mod node;
mod options;
mod peer;
mod relay;
mod report;
mod span;
mod stamp;
mod standing;
mod status;
mod tail;
mod topology;
mod watch;

pub use command::{Answer, Call, Command, Ticket};
pub use message::{Fetch, Message, Ping, Pong, Summary};
pub use node::Node;
pub use options::Options;
pub use report::{Acknowledgement, Laggard, Place, Report};
pub use span::Span;
pub use standing::Standing;
pub use status::Status;
