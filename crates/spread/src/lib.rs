//! Spreads numbered revisions and the roster to every process, and knows
//! where they are in force.
//!
//! A [`Node`] is the part of one process. It performs no I/O: messages,
//! answers of the platform and ticks go in, [`Command`]s come out. A few
//! watchers in each data centre read the platform; everybody else is told
//! along a tree within the data centre and repaired by exchanges with random
//! peers. Acknowledgements come back up the same tree as one report a
//! subtree. `docs/design/spread.md` weighs the ways and gives the argument
//! for why a revision is never said to be in force while a process lacks it.
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
