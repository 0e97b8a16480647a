//! An entry that forwards callers' requests directly to endpoints over HTTP.
//!
//! It is an alternative to the entry that works through agents, for deployments
//! in which each attempt has its own id and endpoints report which attempts
//! they did not run. Neither claims nor a ledger are needed there. The names
//! that a deployment uses on the wire are defined by implementations of
//! [`Dialect`] and [`store::Codec`]; this crate implements decisions, state and
//! recovery.
//!
//! A process runs a single thread, and its tasks share state through `Rc`.
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

mod account;
pub mod admission;
mod answer;
mod body;
mod broken_runs;
pub mod budget;
mod caller_timeout;
mod configuration_cache;
pub mod confirmation;
mod connection;
mod crash;
pub mod decide;
mod delivery;
pub mod evacuations;
mod exchange;
mod fleet;
mod flight;
pub mod freshness;
pub mod gaps;
mod gossip;
mod in_flight;
mod intake;
mod knowledge;
mod lag;
pub mod listing;
pub mod memory;
mod notifications;
pub mod outage;
pub mod peers;
mod pieces;
pub mod polls;
mod pool;
pub mod prompt;
mod pump;
pub mod quarantine;
mod record;
pub mod refusal;
pub mod regions;
mod registration;
mod renewal;
mod request;
mod response;
mod running;
mod server;
pub mod spacing;
mod stop;
pub mod store_health;
pub mod subset;
pub mod time_budget;
mod waiting;
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
