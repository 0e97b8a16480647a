//! Selects the endpoint for a request.
//!
//! [`Router`] holds one entry's view of its endpoints: the roster, their load
//! reports (which lag behind the actual load), the entry's own requests in
//! flight and the latencies it measured. [`Router::choose`] selects an endpoint
//! from this state. The crate does no I/O; time and the random source are
//! passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod attempt;
pub mod choice;
mod decay;
pub mod group;
pub mod load;
pub mod member;
pub mod options;
pub mod prefix;
pub mod rendezvous;
pub mod report;
pub mod request;
pub mod service;
pub mod state;
pub mod subset;
pub mod withheld;

mod average;
mod health;
mod router;
mod row;
mod selection;

pub use attempt::Attempt;
pub use choice::Choice;
pub use group::Group;
pub use load::Load;
pub use member::Member;
pub use options::Options;
pub use report::Report;
pub use request::Request;
pub use router::Router;
pub use service::Service;
pub use state::State;
pub use withheld::Withheld;
