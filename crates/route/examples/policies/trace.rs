//! The seeded arrivals of a scenario.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub entries: usize,
    pub endpoints: usize,
    pub slots: u32,
    pub length: Duration,
    /// Arrivals per second and endpoint.
    pub rate: f64,
    /// The maximum time from a request's arrival to the end of its response.
    pub deadline: Duration,
    /// The interval of load reports.
    pub interval: Duration,
    /// The delay of load reports.
    pub lag: Duration,
    /// The factor by which endpoint 0 is slower than the others.
    pub slow: u32,
    /// When endpoint 0 crashes.
    pub kill: Option<Duration>,
    /// The number of prefixes that an endpoint's cache holds.
    pub cache: usize,
    /// The number of distinct prefixes; zero for prompts without shared prefixes.
    pub prefixes: u32,
    /// The fraction of requests that arrive at the first entry.
    pub hot_entry: f64,
    /// The fraction of prompts that are ten times as long.
    pub long: f64,
    /// Whether requests are refused if their response is predicted to be late.
    pub refuse: bool,
}

/// The mean length of a prompt, in tokens.
pub const PROMPT: u32 = 300;
/// The length of a shared prefix, in tokens.
const PREFIX: u32 = 1_500;
/// The mean number of pieces in a response.
const PIECES: f64 = 150.0;

/// A request of the trace.
#[derive(Debug, Clone)]
pub struct Job {
    pub at: Duration,
    pub entry: usize,
    pub tokens: u32,
    pub pieces: u32,
    pub prefix: Option<(u32, u32)>,
}

/// Generates the arrivals of a scenario.
pub fn jobs(scenario: &Scenario, seed: u64) -> Vec<Job> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let endpoints = u32::try_from(scenario.endpoints).map_or(0.0, f64::from);
    let rate = scenario.rate * endpoints;
    let weights: Vec<f64> = (1..=scenario.prefixes)
        .map(|rank| 1.0 / f64::from(rank))
        .collect();
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    while at < scenario.length {
        at += Duration::from_secs_f64(exponential(rng) / rate);
        let hot = rng.random_bool(scenario.hot_entry);
        let entry = if hot {
            0
        } else {
            rng.random_range(0..scenario.entries)
        };
        let length = if rng.random_bool(scenario.long) {
            10
        } else {
            1
        };
        let tokens = rng.random_range(PROMPT / 2..PROMPT * 3 / 2) * length;
        let prefix = draw(&weights, rng).map(|id| (id, PREFIX));
        let pieces = number(1.0 + PIECES * exponential(rng));
        jobs.push(Job {
            at,
            entry,
            tokens: tokens + prefix.map_or(0, |p| p.1),
            pieces,
            prefix,
        });
    }
    jobs
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn number(value: f64) -> u32 {
    Duration::from_secs_f64(value)
        .as_secs()
        .try_into()
        .unwrap_or(u32::MAX)
}

/// Draws an index with probabilities proportional to `weights`.
fn draw(weights: &[f64], rng: &mut StdRng) -> Option<u32> {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (at, weight) in weights.iter().enumerate() {
        left -= weight;
        if left <= 0.0 {
            return u32::try_from(at).ok();
        }
    }
    None
}
