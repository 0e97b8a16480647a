//! What load is made.

use std::time::Duration;

use super::Lengths;

/// What load is made.
#[derive(Debug, Clone)]
pub struct Options {
    /// The model that is asked for.
    pub model: String,
    /// The organisations; the first asks most, by Zipf's law.
    pub organisations: Vec<String>,
    /// The exponent of Zipf's law; zero makes the organisations equal.
    pub skew: f64,
    /// The requests a second.
    pub rate: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// The words of a prompt.
    pub prompt: Lengths,
    /// The tokens of an answer.
    pub answer: Lengths,
    /// The fraction of requests with a key of their own.
    pub keyed: f64,
    /// The fraction of requests that may run at most once.
    pub once: f64,
    /// How long after its arrival an answer is worth something.
    pub deadline: Duration,
    /// The times that a request is sent at most: again if no connection was
    /// made, and, if it broke, again when it is idempotent, or to resume it
    /// when it has a key.
    pub tries: usize,
    /// Fixes the arrivals, the lengths and the choices.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            model: "letters".to_owned(),
            organisations: vec!["arrieta".to_owned()],
            skew: 1.0,
            rate: 100.0,
            duration: Duration::from_secs(5),
            prompt: Lengths {
                median: 32.0,
                sigma: 1.0,
                longest: 512,
            },
            answer: Lengths {
                median: 16.0,
                sigma: 0.7,
                longest: 96,
            },
            keyed: 0.0,
            once: 0.0,
            deadline: Duration::from_secs(2),
            tries: 1,
            seed: 1,
        }
    }
}
