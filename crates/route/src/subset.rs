//! Deterministic subsetting: which endpoints an entry connects to.
//!
//! In a large fleet an entry links to a bounded subset of a service's
//! endpoints. Every process computes the same subsets from the same roster.
//! Each entry ranks endpoints by rendezvous hashing and skips an endpoint whose
//! number of entries would exceed the mean by more than [`SLACK`]. Endpoints
//! therefore serve nearly equal numbers of entries, and a roster change moves
//! few links. Differing rosters only affect the balance.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::rendezvous::weight;

/// By how much an endpoint's number of entries may exceed the mean.
pub const SLACK: usize = 1;

/// Returns the subset of the entry `me` as sorted positions in `endpoints`. It is
/// empty if `entries` does not contain `me`.
#[must_use]
pub fn of(me: &str, entries: &[&str], endpoints: &[&str], size: usize) -> Vec<usize> {
    let mut subset = Vec::new();
    assign(entries, endpoints, size, |entry, endpoints| {
        if entries[entry] == me {
            subset.extend_from_slice(endpoints);
        }
        entries[entry] != me
    });
    subset.sort_unstable();
    subset
}

/// Returns the subset of each entry as sorted positions in `endpoints`.
#[must_use]
pub fn all(entries: &[&str], endpoints: &[&str], size: usize) -> Vec<Vec<usize>> {
    let mut subsets = vec![Vec::new(); entries.len()];
    assign(entries, endpoints, size, |entry, endpoints| {
        subsets[entry].extend_from_slice(endpoints);
        subsets[entry].sort_unstable();
        true
    });
    subsets
}

/// Calls `visit` with each entry and its endpoints until it returns `false`.
fn assign(
    entries: &[&str],
    endpoints: &[&str],
    size: usize,
    mut visit: impl FnMut(usize, &[usize]) -> bool,
) {
    let size = size.min(endpoints.len());
    if size == 0 {
        return;
    }
    let hashes: Vec<u64> = endpoints.iter().map(|n| xxh3_64(n.as_bytes())).collect();
    let mut order: Vec<(u64, usize)> = (0..entries.len())
        .map(|at| (xxh3_64(entries[at].as_bytes()), at))
        .collect();
    order.sort_unstable();
    let mut entry_counts = vec![0_usize; endpoints.len()];
    let mut ranked: Vec<usize> = (0..endpoints.len()).collect();
    for (index, &(key, entry)) in order.iter().enumerate() {
        let links = (index + 1) * size;
        let most = links.div_ceil(endpoints.len()) + SLACK;
        let least = (links / endpoints.len()).saturating_sub(SLACK);
        let rank = |at: &usize| {
            let excess = (entry_counts[*at] + 1).saturating_sub(most);
            let behind = least.saturating_sub(entry_counts[*at]);
            (excess, Reverse(behind), Reverse(weight(key, hashes[*at])))
        };
        ranked.select_nth_unstable_by_key(size - 1, rank);
        let chosen = &ranked[..size];
        for &at in chosen {
            entry_counts[at] += 1;
        }
        if !visit(entry, chosen) {
            return;
        }
    }
}
