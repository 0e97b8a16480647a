//! Which entry is asked first for a key.

use cactusnotch_base::name::Process;
use cactusnotch_ledger::Identity;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the shard of a request, of `shards` in all.
///
/// # Panics
///
/// Panics if `shards` is zero.
#[must_use]
pub fn shard(identity: &Identity, shards: u32) -> u32 {
    let shard = identity.fingerprint() % u128::from(shards);
    u32::try_from(shard).expect("the remainder of a 32-bit number fits into 32 bits")
}

/// Returns the entry that is asked first for a shard, by rendezvous hashing:
/// when an entry comes or goes, only its own shards move.
///
/// Entries that see different lists may ask different owners; that costs a
/// lost race in the log and no promise.
#[must_use]
pub fn owner(shard: u32, live: &[Process]) -> Option<&Process> {
    live.iter().max_by_key(|process| {
        let weight = xxh3_64_with_seed(process.as_str().as_bytes(), u64::from(shard));
        (weight, *process)
    })
}
