//! The assignment of lenders to a cap.

use cactusnotch_base::name::Process;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quota::{Key, Options};

/// Returns the lenders of a cap in the order of their rendezvous weights.
///
/// The number of lenders is proportional to the cap and never exceeds it. Both
/// units of an organisation prefer the same entries.
pub(crate) fn lenders<'a>(
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

/// Returns the part of a cap that the lender at `rank` of `count` lends.
pub(crate) fn allotment(cap: u32, rank: usize, count: usize) -> u32 {
    let (Ok(rank), Ok(count)) = (u32::try_from(rank), u32::try_from(count)) else {
        return 0;
    };
    cap / count + u32::from(rank < cap % count)
}
