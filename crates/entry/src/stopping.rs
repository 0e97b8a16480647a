//! Graceful shutdown of an entry.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Clock;
use tokio::sync::watch;

use crate::shared::Shared;

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The entry serves.
    #[default]
    Serving,
    /// Callers' connections are closed after their current response.
    Closing,
}

/// The phase of the shutdown and the connections that it waits for.
#[derive(Debug, Default)]
pub(crate) struct Stopping {
    phase: watch::Sender<Phase>,
    connections: watch::Sender<usize>,
}

/// A caller's connection, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection<'a> {
    stopping: &'a Stopping,
}

impl Stopping {
    /// Counts a connection until the returned guard is dropped.
    pub(crate) fn count_connection(&self) -> Connection<'_> {
        self.connections.send_modify(|count| *count += 1);
        Connection { stopping: self }
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Waits until callers' connections are to be closed.
    pub(crate) async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
    }

    async fn drained(&self) {
        let mut connections = self.connections.subscribe();
        let _ = connections.wait_for(|count| *count == 0).await;
    }
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        self.stopping.connections.send_modify(|count| *count -= 1);
    }
}

/// Stops an entry without interrupting requests. Withdraws its address, accepts
/// requests until the addresses that callers cache have expired, and then closes
/// each connection after its current response.
pub(crate) async fn stop<C: Clock>(shared: Arc<Shared<C>>) {
    let settings = shared.settings();
    shared.node.leave();
    tracing::info!("address withdrawn; callers may still hold it");
    wait_for_record(&shared).await;
    tokio::time::sleep(settings.system.address_lifetime).await;
    shared.stopping.phase.send_replace(Phase::Closing);
    let drained = shared.stopping.drained();
    if tokio::time::timeout(settings.system.drain_time, drained)
        .await
        .is_err()
    {
        let left = shared.stopping.connections();
        tracing::warn!(left, "connections outlast the drain time");
    }
    shared.node.deregister();
    wait_for_record(&shared).await;
}

/// Waits, for a limited time, until the platform has accepted the process's
/// record.
async fn wait_for_record<C: Clock>(shared: &Shared<C>) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    const POLLS_MAX: u32 = 100;
    for _ in 0..POLLS_MAX {
        if shared.node.is_registered() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tracing::warn!("the platform did not accept the process's record in time");
}
