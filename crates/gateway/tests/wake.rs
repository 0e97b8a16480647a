//! Waits on a host that is suspended: its timers stand still, its clock advances.

use std::time::Duration;

use cactusnotch_base::clock::{self, Suspension};
use cactusnotch_gateway::wake::SuspendDetector;

/// Far longer than the test takes.
const LONG: Duration = Duration::from_hours(1);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(test);
}

#[test]
fn what_became_due_in_a_sleep_is_due_once_the_sleep_is_noticed() {
    run(async {
        let (suspension, wake) = (Suspension::default(), SuspendDetector::default());
        suspension.install();
        let wait = wake.wait_until(clock::now() + LONG);
        let suspend = async {
            tokio::task::yield_now().await;
            suspension.extend(2 * LONG);
            assert!(wake.check());
        };
        tokio::join!(wait, suspend);
    });
}

#[test]
fn a_sleep_is_noticed_once_and_a_pause_is_none() {
    run(async {
        let (suspension, wake) = (Suspension::default(), SuspendDetector::default());
        suspension.install();
        assert!(!wake.check());
        suspension.extend(Duration::from_millis(50));
        assert!(
            !wake.check(),
            "less than the tolerance between clock readings"
        );
        suspension.extend(Duration::from_secs(8));
        assert!(wake.check());
        assert!(!wake.check());
    });
}
