//! The commands that run processes on the users' platform.

use std::path::PathBuf;

use bpaf::Bpaf;
use cactusnotch_gateway::Entry;
use cactusnotch_gateway::journal::BufferedLog;
use cactusnotch_platform::{Settings, Wire};
use cactusnotch_rebalance::Agent;
use cactusnotch_telemetry::Exporter;
use tracing::level_filters::LevelFilter;

use super::overload::{self, overload_options};
use crate::error::Error;

/// How a process on the users' platform is started.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(platform_options))]
pub(crate) struct Options {
    /// Settings file; the platform's variable names it otherwise
    #[bpaf(long, argument("PATH"))]
    pub(crate) settings: Option<PathBuf>,
    /// Check the settings and exit
    #[bpaf(long)]
    pub(crate) check: bool,
    /// Least important level of log lines
    #[bpaf(long, argument("LEVEL"), fallback(LevelFilter::INFO), display_fallback)]
    pub(crate) log_level: LevelFilter,
    #[bpaf(external(overload_options))]
    pub(crate) overload: overload::Options,
}

impl Options {
    fn settings(&self) -> Result<Settings, Error> {
        let path = self.settings.clone().unwrap_or_else(Settings::path);
        Settings::read(&path).map_err(|error| Error::new("settings", error))
    }

    /// Starts the log and the metrics.
    fn start_telemetry(&self) -> Result<(BufferedLog, Exporter), Error> {
        let log = BufferedLog::start(self.log_level).map_err(Error::at("start the log"))?;
        let exporter = Exporter::install().map_err(|error| Error::new("metrics", error))?;
        Ok((log, exporter))
    }
}

/// Runs an entry.
pub(crate) fn gateway(options: &Options) -> Result<(), Error> {
    let mut settings = options
        .settings()?
        .entry()
        .map_err(|error| Error::new("settings", error))?;
    settings.overload = options.overload.settings();
    if options.check {
        println!("settings of {} are in order", settings.host);
        return Ok(());
    }
    let (log, exporter) = options.start_telemetry()?;
    let reread = options.clone();
    let read = move || {
        let mut settings = reread
            .settings()?
            .entry()
            .map_err(|error| Error::new("settings", error))?;
        settings.overload = reread.overload.settings();
        Ok::<_, Error>(settings)
    };
    let ended = Entry::<Wire, Wire>::new(settings, exporter).run(read);
    log.flush();
    ended.map_err(|error| Error::new("entry", error))
}

/// Runs the agent beside a model server.
pub(crate) fn rebalance(options: &Options) -> Result<(), Error> {
    let mut settings = options
        .settings()?
        .agent()
        .map_err(|error| Error::new("settings", error))?;
    settings.overload = options.overload.settings();
    if options.check {
        println!("settings of {} are in order", settings.host);
        return Ok(());
    }
    let (log, exporter) = options.start_telemetry()?;
    let ended = Agent::<Wire, Wire>::new(settings, exporter).run();
    log.flush();
    ended.map_err(|error| Error::new("agent", error))
}
