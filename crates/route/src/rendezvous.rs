//! Rendezvous hashing: a ranking of candidates per key, identical in every process.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns how many of `candidates` rank before `me` for `key`. If two lists differ in `n`
/// candidates, the ranks differ by at most `n`.
#[must_use]
pub fn rank<S: AsRef<str>>(me: &str, candidates: &[S], key: &str) -> usize {
    let key = xxh3_64(key.as_bytes());
    let own = sort_key(key, me);
    let before = |name: &&S| sort_key(key, name.as_ref()) > own;
    candidates.iter().filter(before).count()
}

/// Returns the sort key of a candidate; the name breaks ties between equal weights.
fn sort_key(key: u64, name: &str) -> (u64, &str) {
    (weight(key, xxh3_64(name.as_bytes())), name)
}

/// Returns the weight of a candidate for `key`; the candidate with the largest weight ranks
/// first.
pub(crate) fn weight(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}
