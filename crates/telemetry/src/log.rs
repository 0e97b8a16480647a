//! The log of a process.

use std::io;

use derive_more::{Display, Error, FromStr};
use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

/// The format of the log's lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Format {
    /// One line of text per event, for people.
    #[display("text")]
    Text,
    /// One JSON object per event, for machines.
    #[display("json")]
    Json,
}

/// Configuration of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The format of the lines.
    pub format: Format,
    /// The least severe level that is written.
    pub level: LevelFilter,
}

/// A failure to install the log: the process already has one.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("install the log: {detail}")]
pub struct Error {
    detail: String,
}

/// Installs the log of this process, which writes to standard error.
///
/// # Errors
///
/// Returns an [`Error`] if the process already has a log.
pub fn install(options: &Options) -> Result<(), Error> {
    let installed = match options.format {
        Format::Text => text(options.level, io::stderr).try_init(),
        Format::Json => json(options.level, io::stderr).try_init(),
    };
    installed.map_err(|error| Error {
        detail: error.to_string(),
    })
}

/// Returns a subscriber that writes lines of text to `writer`.
pub fn text<W>(level: LevelFilter, writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(writer)
        .finish()
}

/// Returns a subscriber that writes lines of JSON to `writer`, with the
/// fields of an event beside its level and target.
pub fn json<W>(level: LevelFilter, writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(level)
        .with_writer(writer)
        .finish()
}
