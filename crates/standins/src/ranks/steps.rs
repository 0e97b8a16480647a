//! The thread that takes the group's steps.

use std::sync::{MutexGuard, PoisonError};

use cactusnotch_base::clock::{self, Instant};

use super::group::{Core, State};
use crate::sync::lock;

/// Takes steps until the group is stopped.
pub(crate) fn run(core: &Core) {
    let mut state = lock(&core.state);
    while !state.stopped {
        let now = clock::now();
        state = if state.start(now) {
            core.changed.notify_all();
            take(core, state)
        } else {
            let until = state.stalled_until(now);
            wait(core, state, until)
        };
    }
}

/// Lets the time of one step pass and ends it, unless a rank dies meanwhile.
fn take<'a>(core: &'a Core, mut state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
    let counts = state.counts(&core.options);
    let busy = state.busy(&core.options, &counts);
    let due = clock::now() + busy.iter().copied().max().unwrap_or_default();
    loop {
        let now = clock::now();
        if state.stopped || !state.all_started() {
            return state;
        }
        let due = state.stalled_until(now).map_or(due, |until| until.max(due));
        if now >= due {
            break;
        }
        state = wait(core, state, Some(due));
    }
    state.finish(&counts, busy, clock::now());
    core.changed.notify_all();
    state
}

/// Waits for a change, at most until `until`.
pub(crate) fn wait<'a>(
    core: &'a Core,
    state: MutexGuard<'a, State>,
    until: Option<Instant>,
) -> MutexGuard<'a, State> {
    let Some(until) = until else {
        let woken = core.changed.wait(state);
        return woken.unwrap_or_else(PoisonError::into_inner);
    };
    let left = until.saturating_duration_since(clock::now());
    let woken = core.changed.wait_timeout(state, left);
    woken.unwrap_or_else(PoisonError::into_inner).0
}
