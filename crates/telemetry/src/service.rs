//! Start-up of the log and the metrics of a process.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use rouille::Response;

use crate::counters::Summary;
use crate::{Exporter, log};

/// The number of threads that serve scrapes.
const SCRAPE_THREADS: usize = 2;

/// A failure to start the log or the metrics.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The log could not be installed.
    #[display("start of the log: {_0}")]
    Log(log::Error),
    /// The metrics could not be installed.
    #[display("start of the metrics: {_0}")]
    Metrics(crate::exporter::Error),
    /// The port for scrapes could not be opened.
    #[display("metrics port {address}: {detail}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The failure.
        detail: String,
    },
}

/// Configuration of the log and the metrics.
#[derive(Debug, Clone)]
pub struct Options {
    /// The log.
    pub log: log::Options,
    /// The address on which metrics are served, if they are.
    pub metrics_listen: Option<SocketAddr>,
    /// The interval at which changed counters are logged.
    pub counters_interval: Duration,
}

/// Starts the log and the metrics for the lifetime of this process.
///
/// # Errors
///
/// Fails if either is already installed or the port cannot be opened.
pub fn start(options: &Options) -> Result<(), Error> {
    log::install(&options.log).map_err(Error::Log)?;
    let exporter = Exporter::install().map_err(Error::Metrics)?;
    if let Some(address) = options.metrics_listen {
        serve(address, exporter.clone())?;
    }
    let interval = options.counters_interval;
    std::thread::spawn(move || summarize(&exporter, interval));
    Ok(())
}

fn serve(address: SocketAddr, exporter: Exporter) -> Result<(), Error> {
    let server = rouille::Server::new(address, move |request| match request.url().as_str() {
        "/metrics" => Response::text(exporter.render()),
        _ => Response::empty_404(),
    });
    let server = server
        .map_err(|error| Error::Listen {
            address,
            detail: error.to_string(),
        })?
        .pool_size(SCRAPE_THREADS);
    std::thread::spawn(move || server.run());
    Ok(())
}

fn summarize(exporter: &Exporter, interval: Duration) {
    let mut summary = Summary::default();
    loop {
        std::thread::sleep(interval);
        if let Some(line) = summary.next(&exporter.render()) {
            tracing::info!(counters = line, "counters");
        }
    }
}
