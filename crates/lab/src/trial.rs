//! Non-idempotent requests under faults, checked against the engines' logs.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::ScopedJoinHandle;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_standins::engine::Engine;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::caller::{Ask, Outcome, key};
use crate::{Caller, Failure};

/// The most times that a caller sends one request.
const TRIES: usize = 4;

/// The probability that a caller takes `not-run` for its last answer, so that
/// a false one shows.
const BELIEVED: f64 = 0.3;

/// The longest pause of a caller before it sends a request again.
const PAUSE: Duration = Duration::from_millis(300);

/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(6);

/// How the callers of a trial behave.
#[derive(Debug, Clone)]
pub struct Options {
    /// The organisation of the callers.
    pub organisation: String,
    /// The model.
    pub model: String,
    /// The requests, over all callers.
    pub requests: u64,
    /// The callers.
    pub callers: usize,
    /// The tokens of an answer.
    pub tokens: usize,
    /// The fraction of requests that go with a ticket.
    pub tickets: f64,
    /// Fixes the callers' choices.
    pub seed: u64,
}

/// What a caller was told about one request, over all its tries.
#[derive(Debug, Clone, Default)]
struct Told {
    key: String,
    tries: u64,
    is_whole: bool,
    is_foreign: bool,
    not_run: u64,
    unknown: u64,
    silent: u64,
}

/// What the callers of a trial were told.
#[derive(Debug)]
pub struct Answers {
    told: Vec<Told>,
    time: Duration,
}

/// What came of a trial.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The requests.
    pub requests: u64,
    /// The times that they were sent.
    pub tries: u64,
    /// The requests that got their whole answer.
    pub whole: u64,
    /// The tries that were told `not-run`.
    pub not_run: u64,
    /// The tries that were told `unknown`.
    pub unknown: u64,
    /// The tries that got no response, or one that broke off.
    pub silent: u64,
    /// The keys that started more than once.
    pub double_runs: u64,
    /// The keys whose every try was told `not-run` and that started.
    pub false_not_run: u64,
    /// The whole answers that were not the request's.
    pub foreign: u64,
    /// The whole answers that no engine started.
    pub unstarted_whole: u64,
    /// How long the trial took.
    pub time: Duration,
}

impl Report {
    /// Tells whether all promises were kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let faults = [
            self.double_runs,
            self.false_not_run,
            self.foreign,
            self.unstarted_whole,
        ];
        faults.iter().all(|count| *count == 0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests in {:.1} s, sent {} times: {} whole answers",
            self.requests,
            self.time.as_secs_f64(),
            self.tries,
            self.whole
        )?;
        writeln!(
            f,
            "tries told not-run {}, unknown {}, without a response {}",
            self.not_run, self.unknown, self.silent
        )?;
        write!(
            f,
            "double runs {}, false not-run {}, foreign or short answers taken as whole {}",
            self.double_runs, self.false_not_run, self.foreign
        )
    }
}

/// Sends the requests from all callers and returns what they were told.
#[must_use]
pub fn run(options: &Options, addresses: &[SocketAddr]) -> Answers {
    let start = clock::now();
    let next = AtomicU64::new(0);
    let callers: Vec<_> = (0..options.callers).collect();
    let told = std::thread::scope(|scope| {
        let threads: Vec<_> = callers
            .iter()
            .map(|caller| {
                let seed = options.seed.wrapping_add(*caller as u64);
                let next = &next;
                scope.spawn(move || call(options, addresses, next, seed))
            })
            .collect();
        let told = threads.into_iter().map(ScopedJoinHandle::join);
        told.flat_map(Result::unwrap_or_default).collect()
    });
    Answers {
        told,
        time: start.elapsed(),
    }
}

impl Answers {
    /// Compares what the callers were told with what the engines logged.
    #[must_use]
    pub fn compare(&self, engines: &[Engine]) -> Report {
        let mut started: Vec<String> = engines
            .iter()
            .flat_map(Engine::runs)
            .filter(|run| run.started)
            .filter_map(|run| Some(run.key?.as_str().to_owned()))
            .collect();
        started.sort();
        let mut report = Report {
            time: self.time,
            ..Report::default()
        };
        for told in &self.told {
            let from = started.partition_point(|key| key < &told.key);
            let starts = started[from..]
                .iter()
                .take_while(|key| **key == told.key)
                .count();
            report.add(told, starts);
        }
        report
    }
}

impl Report {
    fn add(&mut self, told: &Told, starts: usize) {
        self.requests += 1;
        self.tries += told.tries;
        self.not_run += told.not_run;
        self.unknown += told.unknown;
        self.silent += told.silent;
        self.whole += u64::from(told.is_whole);
        self.foreign += u64::from(told.is_foreign);
        self.double_runs += u64::from(starts > 1);
        let is_denied = told.not_run == told.tries;
        self.false_not_run += u64::from(is_denied && starts > 0);
        self.unstarted_whole += u64::from(told.is_whole && starts == 0);
    }
}

/// Sends requests one after another, as one caller.
fn call(options: &Options, addresses: &[SocketAddr], next: &AtomicU64, seed: u64) -> Vec<Told> {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new(PATIENCE);
    let mut all = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= options.requests {
            return all;
        }
        all.push(request(options, &caller, addresses, number, &mut random));
    }
}

/// Sends one request until its answer is whole or the tries are used up, each
/// time to any of the entries.
fn request(
    options: &Options,
    caller: &Caller,
    addresses: &[SocketAddr],
    number: u64,
    random: &mut StdRng,
) -> Told {
    let mut ask = Ask {
        organisation: options.organisation.clone(),
        model: options.model.clone(),
        prompt: format!("letter {number} of {}", options.seed),
        max_tokens: options.tokens,
        key: None,
        idempotent: Some(false),
        after: None,
    };
    let wants_ticket = random.random_bool(options.tickets);
    let ticket = addresses
        .choose(random)
        .filter(|_| wants_ticket)
        .and_then(|address| caller.ticket(*address, &ask).ok());
    let chosen = ticket.unwrap_or_else(key);
    ask.key = Some(chosen.clone());
    let mut told = Told {
        key: chosen,
        ..Told::default()
    };
    for _ in 0..TRIES {
        let Some(address) = addresses.choose(random) else {
            return told;
        };
        told.take(caller.ask(*address, &ask), &ask);
        let is_believed = told.not_run == told.tries && random.random_bool(BELIEVED);
        if told.is_whole || is_believed {
            return told;
        }
        std::thread::sleep(PAUSE.mul_f64(random.random()));
    }
    told
}

impl Told {
    fn take(&mut self, outcome: Result<Outcome, Failure>, ask: &Ask) {
        self.tries += 1;
        match outcome {
            Ok(Outcome::Whole(answer)) => {
                self.is_whole = true;
                self.is_foreign |= answer.text != ask.expected();
            }
            Ok(Outcome::Refused { outcome, .. }) if outcome == "not-run" => self.not_run += 1,
            Ok(Outcome::Refused { outcome, .. }) if outcome == "unknown" => self.unknown += 1,
            Ok(Outcome::Broken(answer)) if answer.stated.as_deref() == Some("not-run") => {
                self.not_run += 1;
            }
            Ok(Outcome::Broken(answer)) if answer.stated.as_deref() == Some("unknown") => {
                self.unknown += 1;
            }
            Ok(Outcome::Refused { .. } | Outcome::Broken(_)) | Err(_) => self.silent += 1,
        }
    }
}
