//! The log output of a process, written in the background.
//!
//! Lines are buffered in memory and written by a separate thread. A stalled
//! reader of standard output thus blocks no request. Lines that don't fit into
//! the buffer are dropped and counted, and the count is logged.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use cactusnotch_telemetry::metric;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The most bytes of buffered lines: some thousand lines, or two seconds of an
/// entry's lines at a thousand requests a second.
const PENDING_BYTES_MAX: usize = 512 * 1024;
/// How long lines are collected before they are written together. A wake-up and
/// a system call for each line would cost more than formatting it.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// A buffer of log lines with a background writer.
#[derive(Debug, Clone, Default)]
pub struct BufferedLog {
    shared: Arc<(Mutex<Pending>, Condvar)>,
}

impl BufferedLog {
    /// Installs the buffer as the global log of the process, which writes JSON
    /// lines of `level` and above to standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process already has a log or the writer thread
    /// can't be started.
    pub fn start(level: LevelFilter) -> io::Result<Self> {
        let log = Self::default();
        let subscriber = cactusnotch_telemetry::log::json(level, log.clone());
        tracing::subscriber::set_global_default(subscriber).map_err(io::Error::other)?;
        let writer = log.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        Ok(log)
    }

    /// Writes all buffered lines. Call this before the process exits.
    pub fn flush(&self) {
        let bytes = self.take();
        // A closed standard output can't be reported anywhere.
        let _: io::Result<()> = io::stdout().lock().write_all(&bytes);
    }

    fn run(&self) {
        loop {
            self.wait_for_lines();
            std::thread::sleep(FLUSH_INTERVAL);
            self.flush();
        }
    }

    fn wait_for_lines(&self) {
        let (lock, wake) = &*self.shared;
        let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        drop(wake.wait_while(guard, |pending| pending.bytes.is_empty()));
    }

    fn take(&self) -> Vec<u8> {
        let (lock, _) = &*self.shared;
        let mut pending = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = std::mem::take(&mut pending.bytes);
        let dropped = std::mem::take(&mut pending.dropped);
        drop(pending);
        if dropped > 0 {
            metrics::counter!(metric::LOG_LINES_DROPPED).increment(dropped);
            bytes.extend_from_slice(
                format!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
                )
                .as_bytes(),
            );
        }
        bytes
    }
}

impl Write for &BufferedLog {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (lock, wake) = &*self.shared;
        let mut pending = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > PENDING_BYTES_MAX {
            pending.dropped += 1;
            return Ok(line.len());
        }
        let first = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        drop(pending);
        if first {
            wake.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for BufferedLog {
    type Writer = &'a Self;

    fn make_writer(&'a self) -> Self::Writer {
        self
    }
}

/// Converts a duration to whole milliseconds, the unit of log lines.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
