//! Settings that change while a process runs.

use std::fmt::Display;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::knowledge::SharedState;
use crate::options::Options;

/// How often settings are read without a signal; they may change silently, and
/// reading two kilobytes costs some microseconds.
const READ_EVERY: Duration = Duration::from_secs(2);

/// Calls `changed` at each signal to reload (`true`) and in between.
///
/// # Errors
///
/// Returns an error if signals can't be received.
pub async fn watch(mut changed: impl FnMut(bool)) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(READ_EVERY) => false,
        };
        changed(signalled);
    }
}

/// Takes new settings in whenever `read` returns other ones.
pub(crate) async fn run<E: Display>(
    shared: Rc<SharedState>,
    read: impl Fn() -> Result<Options, E>,
) -> io::Result<()> {
    let mut failing = false;
    watch(|signalled| {
        let read = read();
        match &read {
            Ok(new) if *new == *shared.options() => {
                if signalled {
                    tracing::info!("reload asked for, settings are the same");
                }
            }
            Ok(new) => take(&shared, new.clone()),
            Err(error) if signalled || !failing => {
                tracing::error!(%error, "settings not taken, the last good ones stay");
            }
            Err(_) => {}
        }
        failing = read.is_err();
    })
    .await
}

fn take(shared: &SharedState, new: Options) {
    let old = shared.options();
    let moved = old.listen != new.listen
        || old.readiness != new.readiness
        || old.resolver != new.resolver
        || old.peers != new.peers
        || old.metrics != new.metrics;
    if moved {
        tracing::warn!("new addresses are used from the next start on");
    }
    tracing::info!(grace = ?new.grace, revocation = ?new.revocation_bound, retry_ratio = new.retry_ratio, "settings reloaded");
    shared.set_options(new);
}
