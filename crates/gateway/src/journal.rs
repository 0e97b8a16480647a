//! The log of a process, written beside its work.
//!
//! Lines are put into memory and written by a thread of their own, so that a
//! reader of standard output that stalls holds no request up. What doesn't fit
//! is dropped and counted, and the count is logged.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use cactusnotch_telemetry::metric;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The most bytes of lines that wait to be written: some thousand lines, and
/// two seconds of an entry's lines at a thousand requests a second.
const WAITING_MAX: usize = 512 * 1024;
/// How long lines are gathered before they are written together: a wake-up
/// and a system call for each line would cost more than its text.
const GATHERING: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The lines that wait to be written.
#[derive(Debug, Clone, Default)]
pub struct BufferedLog {
    shared: Arc<(Mutex<Waiting>, Condvar)>,
}

impl BufferedLog {
    /// Starts to log JSON lines of `level` and above to standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has a log already or can't start the
    /// writing thread.
    pub fn start(level: LevelFilter) -> io::Result<Self> {
        let journal = Self::default();
        let subscriber = cactusnotch_telemetry::log::json(level, journal.clone());
        tracing::subscriber::set_global_default(subscriber).map_err(io::Error::other)?;
        let writer = journal.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.write_on())?;
        Ok(journal)
    }

    /// Writes what waits now; called before the process ends.
    pub fn flush(&self) {
        let bytes = self.take();
        // A reader that is gone can't be told.
        let _: io::Result<()> = io::stdout().lock().write_all(&bytes);
    }

    fn write_on(&self) {
        loop {
            self.wait();
            std::thread::sleep(GATHERING);
            self.flush();
        }
    }

    fn wait(&self) {
        let (lock, wake) = &*self.shared;
        let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        drop(wake.wait_while(guard, |waiting| waiting.bytes.is_empty()));
    }

    fn take(&self) -> Vec<u8> {
        let (lock, _) = &*self.shared;
        let mut waiting = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        drop(waiting);
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
        let mut waiting = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > WAITING_MAX {
            waiting.dropped += 1;
            return Ok(line.len());
        }
        let first = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
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

/// Returns a time as log lines state it, in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
