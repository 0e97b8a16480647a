//! Waits on a host that is suspended: its timers stand still, its clock goes on.

use std::time::Duration;

use cactusnotch_base::clock::{self, Sleep};
use cactusnotch_gateway::wake::SuspendDetector;

/// Far more than a test takes.
const LONG: Duration = Duration::from_hours(1);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn what_became_due_in_a_sleep_is_due_once_the_sleep_is_noticed() {
    run(async {
        let (sleep, wake) = (Sleep::default(), SuspendDetector::default());
        sleep.set();
        let due = wake.wait_until(clock::now() + LONG);
        let notices = async {
            tokio::task::yield_now().await;
            sleep.pass(2 * LONG);
            assert!(wake.check());
        };
        tokio::join!(due, notices);
    });
}

#[test]
fn a_sleep_is_noticed_once_and_a_pause_is_none() {
    run(async {
        let (sleep, wake) = (Sleep::default(), SuspendDetector::default());
        sleep.set();
        assert!(!wake.check());
        sleep.pass(Duration::from_millis(50));
        assert!(!wake.check(), "less than clocks may be apart");
        sleep.pass(Duration::from_secs(8));
        assert!(wake.check());
        assert!(!wake.check());
    });
}
