//! Waiting for what another thread brings about.

use std::thread;
use std::time::Duration;

use cactusnotch_base::clock;

/// The time after which a test gives up and fails.
pub const LONG: Duration = Duration::from_secs(30);

/// Waits until `reached` holds.
pub fn until(reached: impl Fn() -> bool) {
    let limit = clock::now() + LONG;
    while !reached() {
        assert!(clock::now() < limit, "it was not reached in {LONG:?}");
        thread::yield_now();
    }
}
