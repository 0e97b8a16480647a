//! The planned stop of an entry.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Clock;
use tokio::sync::watch;

use crate::shared::Shared;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The entry serves.
    #[default]
    Serving,
    /// Callers are told to close their connections.
    Closing,
}

/// What a planned stop looks at and says.
#[derive(Debug, Default)]
pub(crate) struct Stopping {
    phase: watch::Sender<Phase>,
    connections: watch::Sender<usize>,
}

/// A caller's connection, counted while it lives.
#[derive(Debug)]
pub(crate) struct Connection<'a> {
    stopping: &'a Stopping,
}

impl Stopping {
    /// Counts a connection in.
    pub(crate) fn enter(&self) -> Connection<'_> {
        self.connections.send_modify(|count| *count += 1);
        Connection { stopping: self }
    }

    /// Returns the number of connections.
    pub(crate) fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Waits until callers are to be told to close their connections.
    pub(crate) async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
    }

    async fn emptied(&self) {
        let mut connections = self.connections.subscribe();
        let _ = connections.wait_for(|count| *count == 0).await;
    }
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        self.stopping.connections.send_modify(|count| *count -= 1);
    }
}

/// Stops an entry without cutting a request off: its address is withdrawn,
/// requests are taken until the addresses that callers keep have expired,
/// then connections close after the answer that is under way.
pub(crate) async fn stop<C: Clock>(shared: Arc<Shared<C>>) {
    let settings = shared.settings();
    shared.node.leave();
    tracing::info!("address withdrawn; callers may still hold it");
    settle(&shared).await;
    tokio::time::sleep(settings.system.address_lifetime).await;
    shared.stopping.phase.send_replace(Phase::Closing);
    let drained = shared.stopping.emptied();
    if tokio::time::timeout(settings.system.drain_time, drained)
        .await
        .is_err()
    {
        let left = shared.stopping.connections();
        tracing::warn!(left, "connections outlast the drain time");
    }
    shared.node.deregister();
    settle(&shared).await;
}

/// Waits a while for the platform to take the process's record.
async fn settle<C: Clock>(shared: &Shared<C>) {
    const GLANCE: Duration = Duration::from_millis(50);
    const PATIENCE: u32 = 100;
    for _ in 0..PATIENCE {
        if shared.node.is_registered() {
            return;
        }
        tokio::time::sleep(GLANCE).await;
    }
    tracing::warn!("the platform has not taken the process's record");
}
