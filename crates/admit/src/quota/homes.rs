//! The homes of a cap.

use cactusnotch_base::name::Process;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quota::Key;

/// Returns the homes of a cap by rendezvous hashing, the first one first.
pub(crate) fn homes<'a>(key: &Key, entries: &'a [Process], count: usize) -> Vec<&'a Process> {
    let seed = xxh3_64(key.organisation.as_str().as_bytes());
    let mut ranked: Vec<(u64, &Process)> = entries
        .iter()
        .map(|entry| (xxh3_64_with_seed(entry.as_str().as_bytes(), seed), entry))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.into_iter().take(count).map(|(_, e)| e).collect()
}

/// Returns the part of `amount` that the home at `rank` of `count` gets.
pub(crate) fn part(amount: u32, rank: usize, count: usize) -> u32 {
    let (Ok(rank), Ok(count)) = (u32::try_from(rank), u32::try_from(count)) else {
        return 0;
    };
    amount / count + u32::from(rank < amount % count)
}
