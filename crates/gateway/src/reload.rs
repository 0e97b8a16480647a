//! Reloads settings while a process is running.

use std::fmt::Display;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::knowledge::SharedState;
use crate::options::Options;

/// The interval at which settings are read without a signal. They may change
/// without one, and reading two kilobytes takes some microseconds.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Calls `changed` at each reload signal (with `true`) and at regular
/// intervals.
///
/// # Errors
///
/// Returns an error if signals can't be received.
pub async fn watch(mut changed: impl FnMut(bool)) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        changed(signalled);
    }
}

/// Applies new settings whenever the result of `read` changes.
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
                    tracing::info!("reload requested, settings unchanged");
                }
            }
            Ok(new) => apply(&shared, new.clone()),
            Err(error) if signalled || !failing => {
                tracing::error!(%error, "settings not taken, the previous ones stay in force");
            }
            Err(_) => {}
        }
        failing = read.is_err();
    })
    .await
}

fn apply(shared: &SharedState, new: Options) {
    let old = shared.options();
    let addresses_changed = old.listen != new.listen
        || old.readiness != new.readiness
        || old.resolver != new.resolver
        || old.peers != new.peers
        || old.metrics != new.metrics;
    if addresses_changed {
        tracing::warn!("changed addresses take effect at the next start");
    }
    tracing::info!(grace = ?new.grace, revocation = ?new.revocation_bound, retry_ratio = new.retry_ratio, "settings reloaded");
    shared.set_options(new);
}
