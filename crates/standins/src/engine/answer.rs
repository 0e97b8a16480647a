//! The text that an engine answers with, which a checker can work out again.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The words that answers are made of.
const WORDS: [&str; 16] = [
    "warp", "weft", "dye", "lot", "skein", "loom", "wool", "madder", "woad", "indigo", "twill",
    "selvage", "heddle", "shuttle", "bobbin", "fleece",
];

/// Returns the whole answer of `model` to `prompt`, which has `max_tokens`
/// tokens.
#[must_use]
pub fn answer(model: &str, prompt: &str, max_tokens: usize) -> String {
    let seed = seed(model, prompt);
    (0..max_tokens).map(|at| token(seed, at)).collect()
}

/// Returns the number from which the tokens of an answer follow.
pub(crate) fn seed(model: &str, prompt: &str) -> u64 {
    let model = xxh3_64_with_seed(model.as_bytes(), 0);
    xxh3_64_with_seed(prompt.as_bytes(), model)
}

/// Returns the token at position `at` of the answer of `seed`.
pub(crate) fn token(seed: u64, at: usize) -> String {
    let hash = xxh3_64_with_seed(&at.to_le_bytes(), seed);
    let index = usize::from(hash.to_le_bytes()[0]) % WORDS.len();
    format!("{}-{:04x} ", WORDS[index], hash >> 48)
}
