//! Settings of logs and metrics.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use cactusnotch_telemetry::log::{self, Format};
use cactusnotch_telemetry::service;
use tracing::level_filters::LevelFilter;

use crate::checked;

/// Settings of logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(logs))]
pub struct Logs {
    /// Form of the log's lines: text or json
    #[bpaf(
        long("log-format"),
        env("CACTUSNOTCH_LOG_FORMAT"),
        argument::<String>("FORMAT"),
        parse(checked("log-format")),
        fallback(Format::Text),
        display_fallback
    )]
    pub format: Format,
    /// Least important level that is logged: off, error, warn, info, debug or trace
    #[bpaf(
        long("log-level"),
        env("CACTUSNOTCH_LOG_LEVEL"),
        argument::<String>("LEVEL"),
        parse(checked("log-level")),
        fallback(LevelFilter::INFO),
        display_fallback
    )]
    pub level: LevelFilter,
    /// Where metrics are scraped; not served if not given
    #[bpaf(
        long("metrics-listen"),
        env("CACTUSNOTCH_METRICS_LISTEN"),
        argument::<String>("IP:PORT"),
        parse(checked("metrics-listen")),
        optional
    )]
    pub metrics_listen: Option<SocketAddr>,
    /// How often changed counters are logged, such as 10s
    #[bpaf(
        long("counters-interval"),
        env("CACTUSNOTCH_COUNTERS_INTERVAL"),
        argument::<String>("TIME"),
        parse(checked("counters-interval")),
        fallback(COUNTERS_INTERVAL),
        debug_fallback
    )]
    pub counters_interval: Duration,
}

const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);

impl Logs {
    /// Returns the options of the log and of the metrics.
    #[must_use]
    pub const fn service(&self) -> service::Options {
        service::Options {
            log: log::Options {
                format: self.format,
                level: self.level,
            },
            metrics_listen: self.metrics_listen,
            counters_interval: self.counters_interval,
        }
    }
}
