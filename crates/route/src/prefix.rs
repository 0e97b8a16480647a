//! Hashes of a prompt's leading blocks.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of prompt bytes in a block.
pub const BLOCK_LEN: usize = 256;

/// The maximum number of blocks hashed per prompt.
pub const BLOCKS_MAX: usize = 16;

/// Returns the chained hashes of the complete blocks at the start of `prompt`.
///
/// Each hash covers all bytes up to the end of its block: barring collisions, two
/// prompts share a hash exactly if they are equal up to that point.
/// `seed` separates the prompts of different organisations or models.
#[must_use]
pub fn blocks(seed: u64, prompt: &[u8]) -> Vec<u64> {
    prompt
        .chunks_exact(BLOCK_LEN)
        .take(BLOCKS_MAX)
        .scan(seed, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// Returns the hash of the first `depth` blocks of a prompt, or of all its
/// blocks if it has fewer.
pub(crate) fn key(prefix: &[u64], depth: usize) -> Option<u64> {
    prefix[..prefix.len().min(depth)].last().copied()
}
