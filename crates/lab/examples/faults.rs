//! Non-idempotent requests through real processes under faults. Arguments: a
//! seed, the number of requests and the number of callers. Exits with an
//! error if a promise was broken.

use std::process::ExitCode;
use std::str::FromStr;

use cactusnotch_lab::{faults, trial};

const ENTRIES: usize = 3;
const ENGINES: usize = 4;

fn main() -> ExitCode {
    let options = trial::Options {
        organisation: "palmetto".to_owned(),
        model: "letters".to_owned(),
        requests: argument(2, 10_000),
        callers: argument(3, 48),
        tokens: 16,
        tickets: 0.3,
        seed: argument(1, 1),
    };
    match faults::run(&options, ENTRIES, ENGINES) {
        Ok((report, injector)) => {
            println!("seed {}: {injector}", options.seed);
            println!("{report}");
            if report.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

fn argument<T: FromStr>(position: usize, fallback: T) -> T {
    let text = std::env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(fallback)
}
