//! Logs, traces and metrics of the processes of cactusnotch.
//!
//! Frequent events are counted and scraped. The log has lines only for changes
//! of state, for the spans of sampled requests and for one summary of the
//! counters per interval.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod counters;
pub mod exporter;
pub mod log;
pub mod metric;
mod process;
pub mod service;
pub mod trace;

pub use exporter::Exporter;
pub use metric::Metric;
