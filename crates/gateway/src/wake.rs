//! Waits for a moment on a host that may be suspended.

use cactusnotch_base::clock::Instant;

/// Waits until `moment`.
pub(crate) async fn due(moment: Instant) {
    tokio::time::sleep(moment.left()).await;
}
