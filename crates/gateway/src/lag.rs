//! Detects that the store is ahead of this entry's cached state.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_position::{Position, Progress};
use tokio::sync::Notify;

/// How long an entry that is behind the store waits before it calls the store.
/// In most cases its watch, or a datagram of a watching entry, delivers the
/// changes first.
const CATCH_UP_DELAY: Duration = Duration::from_millis(200);

/// How far this entry's cached state is behind the store.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    progress: Cell<Progress>,
    /// Notified when the store is ahead of the cached endpoints.
    behind: Notify,
    /// The latest configuration version that another entry reported, with that
    /// entry's address.
    newest: Cell<Option<(u64, SocketAddr)>>,
    /// Notified when another entry has a newer configuration.
    outdated: Notify,
}

impl Lag {
    /// Returns the position of the cached endpoints, and that of the store.
    pub(crate) const fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Records that the cached endpoints are complete up to `position`.
    pub(crate) fn advance(&self, position: Position) {
        let mut progress = self.progress.get();
        progress.advance(position);
        self.progress.set(progress);
    }

    /// Records that the store has reached `position`.
    pub(crate) fn observe(&self, position: Position) {
        let mut progress = self.progress.get();
        progress.record_reached(position);
        self.progress.set(progress);
        if progress.is_behind() {
            self.behind.notify_one();
        }
    }

    /// Waits until the store has been ahead of the cached endpoints for longer
    /// than [`CATCH_UP_DELAY`].
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

    /// Records that the entry at `from` has a newer configuration.
    pub(crate) fn note_newer(&self, version: u64, from: SocketAddr) {
        self.newest.set(Some((version, from)));
        self.outdated.notify_one();
    }

    /// Returns the latest configuration version that another entry reported,
    /// with that entry's address.
    pub(crate) const fn newest(&self) -> Option<(u64, SocketAddr)> {
        self.newest.get()
    }

    /// Waits until another entry has a newer configuration.
    pub(crate) async fn wait_outdated(&self) {
        self.outdated.notified().await;
    }
}
