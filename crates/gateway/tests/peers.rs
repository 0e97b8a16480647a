//! Load: callers are to be spread over all entries of their data centre, of which there are
//! many, and each entry may ask a few others alone how they are.
//!
//! Grounds of the figures: 28 to 43 entries in a data centre of the largest deployment, 48
//! in two years. Asked by name from the first on, 17 of 31 got 290 requests each in a day
//! and the others 50.

use std::net::SocketAddr;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_gateway::peer::Entry;
use cactusnotch_gateway::peers::{POLLED_MAX, Peers};

fn entry(at: usize) -> Entry {
    let host = u8::try_from(at).expect("a data centre is small");
    let address = SocketAddr::from(([10, 0, 0, host], 7340));
    Entry {
        host: format!("entry-{at}"),
        data_centre: "east".to_owned(),
        listen: address,
        peers: address,
    }
}

/// Returns what each of `count` entries knows after one round of questions.
fn round(count: usize, now: Instant) -> Vec<Peers> {
    let mut all: Vec<_> = (0..count)
        .map(|at| {
            let mut peers = Peers::new(&entry(at).host, "east");
            (0..count).for_each(|other| peers.insert(entry(other)));
            peers
        })
        .collect();
    for at in 0..count {
        let asked = all[at].polled();
        assert!(asked.len() <= POLLED_MAX, "{} are asked", asked.len());
        for other in (0..count).filter(|&other| asked.contains(&entry(other).peers)) {
            all[other].record_state(entry(at).peers, true, now);
            all[at].record_state(entry(other).peers, true, now);
        }
    }
    all
}

/// Returns in how many lists each entry stands.
fn listed(all: &[Peers], now: Instant) -> Vec<usize> {
    let lists: Vec<_> = all
        .iter()
        .enumerate()
        .map(|(at, peers)| peers.list(Some("east"), Some(entry(at).listen), now))
        .collect();
    (0..all.len())
        .map(|at| {
            let names = |list: &&Vec<SocketAddr>| list.contains(&entry(at).listen);
            lists.iter().filter(names).count()
        })
        .collect()
}

#[test]
fn up_to_thirty_one_entries_are_all_on_every_list() {
    let now = clock::now();
    for count in [3, 17, 18, 25, 31] {
        let listed = listed(&round(count, now), now);
        assert!(
            listed.iter().all(|&lists| lists == count),
            "{count}: {listed:?}"
        );
    }
}

#[test]
fn beyond_that_each_is_on_as_many_lists_as_the_others() {
    let now = clock::now();
    for count in [43, 48, 100] {
        let mut listed = listed(&round(count, now), now);
        listed.sort_unstable();
        // The two that all ask stand on all lists.
        let most = listed[count - 3];
        assert!(most - listed[0] <= 3, "{count}: {listed:?}");
        assert!(listed[0] >= 26, "{count}: {listed:?}");
    }
}
