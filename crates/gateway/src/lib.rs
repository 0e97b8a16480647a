//! The entry that forwards callers' requests straight to endpoints over HTTP.
//!
//! It stands beside the entry that works through agents, for deployments where
//! each attempt has an id of its own and endpoints name what they did not run,
//! so that nothing has to be claimed or remembered. What a deployment calls
//! things on the wire is behind [`Dialect`] and [`store::Codec`]; this crate
//! holds the decisions, the state and the recovery.
//!
//! A process runs one thread. State is shared between its tasks by `Rc`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod channel;
pub mod client;
pub mod configuration;
pub mod content;
pub mod datagram;
pub mod dialect;
pub mod endpoint;
pub mod entry;
pub mod journal;
pub mod options;
pub mod pace;
pub mod peer;
pub mod reload;
mod reported;
pub mod route;
pub mod store;
pub mod tcp;

mod account;
pub mod admission;
mod answer;
mod body;
pub mod budget;
mod configuration_cache;
pub mod confirmation;
mod connection;
mod crash;
pub mod decide;
pub mod evacuations;
pub mod events;
mod exchange;
mod fleet;
mod flight;
pub mod freshness;
mod intake;
mod knowledge;
mod lag;
pub mod link;
mod listing;
pub mod memory;
mod notifications;
pub mod outage;
pub mod peers;
mod pieces;
pub mod polls;
mod pool;
mod pump;
pub mod quarantine;
mod record;
pub mod refusal;
pub mod regions;
mod registration;
mod renewal;
mod request;
mod running;
mod server;
mod stop;
pub mod subset;
pub mod time_budget;
pub mod wake;
mod watcher;

pub use configuration::Configuration;
pub use dialect::Dialect;
pub use endpoint::Endpoint;
pub use entry::Entry;
pub use options::Options;
pub use pace::Slowdown;
pub use regions::Regions;
pub use route::Route;
pub use server::metrics as serve_metrics;
