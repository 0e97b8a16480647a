//! Load reports that each entry receives from the endpoints among which it selects.
//!
//! Guards against a load that grows with the number of endpoints: agents send their load
//! four times a second to each entry that uses their endpoint. The sizes are 46 entries
//! for 64 endpoints, 149 and 207 for 192, and 380 for 1,300 in two years.

use cactusnotch_gateway::subset::{ALL_MAX, SUBSET, sharers, used};

/// The load reports a second from an agent to each entry that uses its endpoint.
const REPORTS_PER_SECOND: usize = 4;

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|at| format!("{kind}-{at}")).collect()
}

fn borrowed(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Returns the number of entries that use each endpoint.
fn uses(entries: &[&str], endpoints: &[&str]) -> Vec<usize> {
    let mut uses = vec![0; endpoints.len()];
    for entry in entries {
        for at in used(entry, entries, endpoints).expect("the service is large") {
            uses[at] += 1;
        }
    }
    uses
}

#[test]
fn what_an_entry_hears_does_not_grow_with_the_endpoints() {
    for (entries, endpoints) in [(149, 192), (207, 192), (380, 1_300)] {
        let (entries, endpoints) = (names("entry", entries), names("endpoint", endpoints));
        let (entries, endpoints) = (borrowed(&entries), borrowed(&endpoints));
        for entry in entries.iter().take(5) {
            let used = used(entry, &entries, &endpoints).expect("the service is large");
            assert_eq!(
                used.len() * REPORTS_PER_SECOND,
                SUBSET * 4,
                "load reports a second"
            );
        }
        let mean = entries.len() * SUBSET / endpoints.len();
        let count = u32::try_from(entries.len()).expect("the number of entries fits");
        let sharers =
            usize::try_from(sharers(count, endpoints.len())).expect("the number of sharers fits");
        assert!(sharers.abs_diff(mean) <= 1);
    }
}

#[test]
fn endpoints_are_used_by_equally_many_entries() {
    let (entries, endpoints) = (names("entry", 149), names("endpoint", 192));
    let (entries, endpoints) = (borrowed(&entries), borrowed(&endpoints));
    let uses = uses(&entries, &endpoints);
    let mean = entries.len() * SUBSET / endpoints.len();
    assert!(
        uses.iter().all(|&uses| uses.abs_diff(mean) <= 2),
        "{uses:?}"
    );
}

#[test]
fn a_small_service_is_used_whole() {
    let (entries, endpoints) = (names("entry", 46), names("endpoint", ALL_MAX));
    let (entries, endpoints) = (borrowed(&entries), borrowed(&endpoints));
    assert_eq!(used(entries[0], &entries, &endpoints), None);
    assert_eq!(sharers(46, endpoints.len()), 46);
}

#[test]
fn an_endpoint_that_leaves_changes_little_of_what_is_used() {
    let (entries, endpoints) = (names("entry", 149), names("endpoint", 192));
    let (entries, endpoints) = (borrowed(&entries), borrowed(&endpoints));
    let names_of = |endpoints: &[&str], entry: &str| -> Vec<String> {
        let used = used(entry, &entries, endpoints).expect("the service is large");
        used.iter().map(|&at| endpoints[at].to_owned()).collect()
    };
    let mut less = endpoints.clone();
    less.remove(100);
    let mut changed = 0;
    for entry in &entries {
        let (before, after) = (names_of(&endpoints, entry), names_of(&less, entry));
        changed += after.iter().filter(|name| !before.contains(name)).count();
    }
    let links = entries.len() * SUBSET;
    assert!(changed * 10 < links, "{changed} of {links} links");
}
