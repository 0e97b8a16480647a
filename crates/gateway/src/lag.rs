//! Signs that the store holds what this entry does not know yet.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_position::{Position, Progress};
use tokio::sync::Notify;

/// How long an entry that is behind the store waits before it asks: its watch,
/// or the datagram of an entry that watches, brings the changes as a rule.
const CATCH_UP_DELAY: Duration = Duration::from_millis(200);

/// Signs that the store holds what this entry does not know yet.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    progress: Cell<Progress>,
    /// Told when the store is known to be ahead of what is known of endpoints.
    behind: Notify,
    /// The configuration that another entry has told of last, and who that is.
    newest: Cell<Option<(u64, SocketAddr)>>,
    /// Told when another entry has a newer configuration.
    outdated: Notify,
}

impl Lag {
    /// Returns how far endpoints are known, and how far the store is.
    pub(crate) const fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Notes that endpoints are known up to `position`.
    pub(crate) fn advance(&self, position: Position) {
        let mut progress = self.progress.get();
        progress.know(position);
        self.progress.set(progress);
    }

    /// Notes that the store has reached `position`.
    pub(crate) fn observe(&self, position: Position) {
        let mut progress = self.progress.get();
        progress.reach(position);
        self.progress.set(progress);
        if progress.is_behind() {
            self.behind.notify_one();
        }
    }

    /// Waits until the store has been ahead of what is known of endpoints for
    /// so long that nobody will bring the changes.
    pub(crate) async fn wait_behind(&self) {
        loop {
            self.behind.notified().await;
            if self.progress.get().is_behind() {
                tokio::time::sleep(CATCH_UP_DELAY).await;
            }
            if self.progress.get().is_behind() {
                return;
            }
        }
    }

    /// Notes that the entry at `from` has a newer configuration.
    pub(crate) fn note_newer(&self, version: u64, from: SocketAddr) {
        self.newest.set(Some((version, from)));
        self.outdated.notify_one();
    }

    /// Returns the newest configuration that was told of, and who has it.
    pub(crate) const fn newest(&self) -> Option<(u64, SocketAddr)> {
        self.newest.get()
    }

    /// Waits until another entry has a newer configuration.
    pub(crate) async fn wait_outdated(&self) {
        self.outdated.notified().await;
    }
}
