//! The homes of a cap.

use cactusnotch_base::name::Process;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quota::{Key, Options};

/// Returns the homes of a cap by rendezvous hashing, the first one first.
///
/// A cap has homes in proportion to its size, and never more than it has
/// parts. Both units of an organisation prefer the same entries.
pub(crate) fn homes<'a>(
    key: &Key,
    cap: u32,
    entries: &'a [Process],
    options: &Options,
) -> Vec<&'a Process> {
    let seed = xxh3_64(key.organisation.as_str().as_bytes());
    let weight = |entry: &Process| xxh3_64_with_seed(entry.as_str().as_bytes(), seed);
    let mut ranked: Vec<(u64, &Process)> = entries.iter().map(|e| (weight(e), e)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    let count = cap
        .div_ceil(options.lender_size)
        .max(options.lenders_min)
        .min(cap);
    ranked.truncate(usize::try_from(count).unwrap_or(usize::MAX));
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

/// Returns the part of a cap that the home at `rank` of `count` lends.
pub(crate) fn part(cap: u32, rank: usize, count: usize) -> u32 {
    let (Ok(rank), Ok(count)) = (u32::try_from(rank), u32::try_from(count)) else {
        return 0;
    };
    cap / count + u32::from(rank < cap % count)
}
