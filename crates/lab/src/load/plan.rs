//! The arrivals of a load, fixed before it begins.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use uuid::Uuid;

use super::Options;
use crate::Failure;
use crate::caller::{Ask, key};

/// The words that prompts are made of.
const WORDS: [&str; 8] = [
    "please", "draft", "the", "letter", "for", "lot", "order", "again",
];

/// One request of a plan.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives, after the begin of the load.
    pub at: Duration,
    /// The request.
    pub ask: Ask,
}

/// The arrivals of a load: a Poisson process, in order of time.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The arrivals.
    pub arrivals: Vec<Arrival>,
}

impl Plan {
    /// Draws the arrivals that `options` ask for.
    ///
    /// # Errors
    ///
    /// Fails if `options` describe no distribution.
    pub fn new(options: &Options) -> Result<Self, Failure> {
        let fail = Failure::at("plan of a load");
        let gaps = Exp::new(options.rate).map_err(&fail)?;
        let count = options.organisations.len();
        let count = u32::try_from(count).map_err(Failure::at("organisations of a plan"))?;
        let ranks = Zipf::new(f64::from(count), options.skew)
            .map_err(Failure::at("organisations of a plan"))?;
        let prompts = options.prompt.distribution()?;
        let answers = options.answer.distribution()?;
        let mut random = StdRng::seed_from_u64(options.seed);
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(gaps.sample(&mut random));
            if at >= options.duration {
                return Ok(Self { arrivals });
            }
            let rank = ranks.sample(&mut random);
            let words = options.prompt.draw(&prompts, &mut random);
            let has_key = random.random_bool(options.keyed);
            let ask = Ask {
                organisation: organisation(options, rank),
                model: options.model.clone(),
                prompt: prompt(words),
                max_tokens: options.answer.draw(&answers, &mut random),
                key: has_key.then(key),
                idempotent: Some(!random.random_bool(options.once)),
                after: None,
            };
            arrivals.push(Arrival { at, ask });
        }
    }
}

/// Returns the organisation of a rank, which counts from one.
fn organisation(options: &Options, rank: f64) -> String {
    let mut places = (1u32..).zip(&options.organisations);
    let found = places.find(|(place, _)| f64::from(*place) >= rank);
    found.map(|(_, name)| name.clone()).unwrap_or_default()
}

/// Returns a prompt that no other request has, so that no cache holds it.
fn prompt(words: usize) -> String {
    let rest = (1..words).map(|at| WORDS[at % WORDS.len()]);
    let first = Uuid::new_v4().to_string();
    std::iter::once(first.as_str())
        .chain(rest)
        .collect::<Vec<_>>()
        .join(" ")
}
