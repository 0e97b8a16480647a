//! Admission control: decides which requests an entry admits, and when.
//!
//! [`Gate`] queues the requests of one service fairly over organisations and
//! refuses those that would miss their deadline. [`Usage`] counts the running
//! requests of each organisation, and [`quota::Exchange`] distributes the
//! organisations' caps between the entries, which enforces them globally
//! without a central counter. The crate does no I/O; time and the random source
//! are passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allowance;
pub mod command;
pub mod gate;
pub mod options;
pub mod priority;
pub mod quota;
pub mod refusal;
pub mod request;
pub mod ticket;
pub mod usage;

mod drain;
mod flow;
mod lane;

pub use allowance::Allowance;
pub use command::Command;
pub use gate::Gate;
pub use options::Options;
pub use priority::Priority;
pub use refusal::Refusal;
pub use request::Request;
pub use ticket::Ticket;
pub use usage::Usage;
