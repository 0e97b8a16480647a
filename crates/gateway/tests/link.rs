//! Load on the store while it is unreachable for all entries or refuses their calls, with
//! three tasks in each entry that need it.
//!
//! Guards against entries that together flood the store during an outage. The sizes are
//! those of deployments: 46, 149 and 380 entries in 3, 5 and 8 data centres. An outage lasts
//! eight seconds, and a refusal takes some milliseconds. When each task retried by itself,
//! with pauses of 0.2 to 0.4 s, 149 entries made 11,900 calls in a day with such an outage.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_gateway::peer::Entry;
use cactusnotch_gateway::peers::Peers;
use cactusnotch_gateway::store_health::{Role, StoreHealth};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OUTAGE: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(5);
/// The tasks of an entry that call the store.
const TASKS: usize = 3;
/// The entries of each data centre that call the store for the others.
const CALLING: usize = 2;

/// Returns the number of calls a second in the second half of an outage.
fn calls(entries: usize, data_centres: usize) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let base = clock::now();
    let mut entry_health: Vec<_> = (0..entries).map(|_| StoreHealth::default()).collect();
    let mut calls = 0_u32;
    for step in 0..1_600 {
        let now = base + STEP * step;
        for (at, health) in entry_health.iter_mut().enumerate() {
            let role = if at / data_centres < CALLING {
                Role::Asks
            } else {
                Role::Relies
            };
            for _ in 0..TASKS {
                if health.wait(now).is_none() {
                    health.fail(role, now, rng.random());
                    calls += u32::from(step >= 800);
                }
            }
        }
    }
    f64::from(calls) / (OUTAGE.as_secs_f64() / 2.0)
}

#[test]
fn an_outage_is_noticed_by_few_calls() {
    for (entries, data_centres, most) in [(46, 3, 60.0), (149, 5, 140.0), (380, 8, 320.0)] {
        let calls = calls(entries, data_centres);
        assert!(calls < most, "{entries} entries: {calls} calls a second");
    }
}

#[test]
fn one_that_asks_for_others_is_back_within_a_second_and_a_half_of_the_store() {
    let mut health = StoreHealth::default();
    let mut now = clock::now();
    for _ in 0..20 {
        health.fail(Role::Asks, now, 1.0);
        let pause = health
            .wait(now)
            .expect("a failed call is followed by a pause");
        assert!(pause <= Duration::from_millis(400));
        now += pause;
        assert_eq!(health.wait(now), None);
    }
    assert!(health.answer(now).is_some());
    assert!(!health.is_lost());
}

#[test]
fn one_task_asks_at_a_time_while_the_store_is_lost() {
    let now = clock::now();
    let mut health = StoreHealth::default();
    assert_eq!((health.wait(now), health.wait(now)), (None, None));
    assert!(health.fail(Role::Asks, now, 0.5));
    assert!(
        !health.fail(Role::Asks, now, 0.5),
        "the store was already lost"
    );
    let now = now + Duration::from_millis(200);
    assert_eq!(health.wait(now), None);
    assert!(
        health.wait(now).is_some(),
        "another task is calling the store"
    );
}

#[test]
fn a_relying_entry_accepts_a_reported_return() {
    let now = clock::now();
    let mut health = StoreHealth::default();
    health.fail(Role::Relies, now, 0.5);
    assert!(!health.note_return(now), "the return preceded the failure");
    assert!(health.note_return(now + Duration::from_millis(1)));
    assert!(!health.is_lost());
}

#[test]
fn the_first_alive_entries_call_for_their_data_centre() {
    let now = clock::now();
    let peer = |at: u8| std::net::SocketAddr::from(([10, 0, 0, at], 7340));
    let mut peers = Peers::new("c", "east");
    assert_eq!(peers.alive_before(now), Some(0), "no other entry is known");
    for (at, (host, data_centre)) in [("a", "east"), ("b", "east"), ("d", "east"), ("0", "west")]
        .into_iter()
        .enumerate()
    {
        let at = u8::try_from(at).expect("the index is small");
        peers.insert(Entry {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            listen: peer(at),
            peers: peer(at),
        });
    }
    assert_eq!(
        peers.alive_before(now),
        None,
        "no other entry has been observed"
    );
    for at in [0, 2, 3] {
        // Entries that can't serve without the store count as alive, too.
        peers.record_state(peer(at), false, now);
    }
    assert_eq!(peers.alive_before(now), Some(1));
}
