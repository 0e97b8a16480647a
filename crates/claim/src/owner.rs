//! The assignment of keys to shards and of shards to entries.

use cactusnotch_base::name::Process;
use cactusnotch_ledger::Identity;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the shard of a request, out of `shards`.
///
/// # Panics
///
/// Panics if `shards` is zero.
#[must_use]
pub fn shard(identity: &Identity, shards: u32) -> u32 {
    let shard = identity.fingerprint() % u128::from(shards);
    u32::try_from(shard).expect("the remainder of a 32-bit number fits into 32 bits")
}

/// Returns the preferred writer of a shard, chosen by rendezvous hashing: when
/// an entry joins or leaves, only its own shards move.
///
/// Entries with different lists may choose different owners. The two writers
/// then race in the log, which costs a retry but never grants a key twice.
#[must_use]
pub fn owner(shard: u32, live: &[Process]) -> Option<&Process> {
    live.iter().max_by_key(|process| {
        let weight = xxh3_64_with_seed(process.as_str().as_bytes(), u64::from(shard));
        (weight, *process)
    })
}
