//! The thread that loads one rank's weights, one expert after the other.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_placement::Cell;
use cactusnotch_switch::engine::Expert;

use super::group::{Core, State};
use super::steps::wait;
use crate::sync::lock;
use crate::weights;

/// How long a loader waits before it asks the weight store again.
const RETRY: Duration = Duration::from_millis(20);

/// The longest time that one fetch may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The largest size of one expert's weights, in bytes.
const SIZE_LIMIT: u64 = 1 << 30;

/// An expert that a life of a rank has been told to load.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Task {
    life: u64,
    expert: Expert,
}

/// Loads what rank number `rank` is told to, until the group is stopped.
pub(crate) fn run(core: &Core, rank: usize) {
    while let Some(task) = next(core, rank) {
        let loaded = match core.options.weights {
            Some(address) => fetch(address, task.expert),
            None => pass(core, rank, task, core.options.load_time),
        };
        if loaded {
            store(core, rank, task);
        } else {
            pass(core, rank, task, RETRY);
        }
    }
}

fn next(core: &Core, rank: usize) -> Option<Task> {
    let mut state = lock(&core.state);
    loop {
        if state.stopped {
            return None;
        }
        if let Some(task) = task(&state, rank) {
            return Some(task);
        }
        state = wait(core, state, None);
    }
}

fn task(state: &State, rank: usize) -> Option<Task> {
    let member = &state.members[rank];
    let expert = *member.memory.state.loading.first()?;
    let life = member.memory.state.life;
    member.fate.alive.then_some(Task { life, expert })
}

/// Lets time pass for as long as the task stands, and tells whether it does.
fn pass(core: &Core, rank: usize, own: Task, time: Duration) -> bool {
    let due = clock::now() + time;
    let mut state = lock(&core.state);
    while !state.stopped && task(&state, rank) == Some(own) {
        if clock::now() >= due {
            return true;
        }
        state = wait(core, state, Some(due));
    }
    false
}

fn store(core: &Core, rank: usize, own: Task) {
    let mut state = lock(&core.state);
    if task(&state, rank) == Some(own) {
        state.members[rank].memory.loaded(own.expert);
        core.changed.notify_all();
    }
}

/// Fetches the weights and tells whether they came whole.
fn fetch(address: SocketAddr, expert: Expert) -> bool {
    let Expert { layer, expert } = expert;
    let call = ureq::get(format!("http://{address}/weights/{layer}/{expert}"))
        .config()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .call();
    let Ok(mut response) = call else {
        return false;
    };
    let body = response.body_mut().with_config().limit(SIZE_LIMIT);
    body.read_to_vec()
        .is_ok_and(|bytes| bytes == weights::content(Cell { layer, expert }, bytes.len()))
}
