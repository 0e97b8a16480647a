//! Callers are spread over all entries of a large data centre, although each entry polls
//! the state of only a few others.
//!
//! Guards against lists of addresses that favour some entries. When entries polled the
//! others in the order of their names, 17 of 31 entries received 290 requests each in a day
//! and the others 50. The largest deployment has 28 to 43 entries in a data centre and will
//! have 48 in two years.

use std::net::SocketAddr;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_gateway::peer::Entry;
use cactusnotch_gateway::peers::{POLLED_MAX, Peers};

fn entry(at: usize) -> Entry {
    let host = u8::try_from(at).expect("a data centre has less than 256 entries");
    let address = SocketAddr::from(([10, 0, 0, host], 7340));
    Entry {
        host: format!("entry-{at}"),
        data_centre: "east".to_owned(),
        listen: address,
        peers: address,
    }
}

/// Returns the state of each of `count` entries after one round of polling.
fn poll_all(count: usize, now: Instant) -> Vec<Peers> {
    let mut all: Vec<_> = (0..count)
        .map(|at| {
            let mut peers = Peers::new(&entry(at).host, "east");
            (0..count).for_each(|other| peers.insert(entry(other)));
            peers
        })
        .collect();
    for at in 0..count {
        let asked = all[at].polled();
        assert!(
            asked.len() <= POLLED_MAX,
            "{} entries are polled",
            asked.len()
        );
        for other in (0..count).filter(|&other| asked.contains(&entry(other).peers)) {
            all[other].record_state(entry(at).peers, true, now);
            all[at].record_state(entry(other).peers, true, now);
        }
    }
    all
}

/// Returns the number of lists that contain each entry.
fn lists_per_entry(all: &[Peers], now: Instant) -> Vec<usize> {
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
        let lists_per_entry = lists_per_entry(&poll_all(count, now), now);
        assert!(
            lists_per_entry.iter().all(|&lists| lists == count),
            "{count}: {lists_per_entry:?}"
        );
    }
}

#[test]
fn beyond_that_each_is_on_as_many_lists_as_the_others() {
    let now = clock::now();
    for count in [43, 48, 100] {
        let mut lists_per_entry = lists_per_entry(&poll_all(count, now), now);
        lists_per_entry.sort_unstable();
        // Two entries are polled by all others and are therefore in all lists.
        let most = lists_per_entry[count - 3];
        assert!(
            most - lists_per_entry[0] <= 3,
            "{count}: {lists_per_entry:?}"
        );
        assert!(lists_per_entry[0] >= 26, "{count}: {lists_per_entry:?}");
    }
}
