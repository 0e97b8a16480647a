//! Requests under load, through real processes and past them, as tables.
//! Each comparison is made within one run.
//!
//! `cargo build --release && cargo run --release -p cactusnotch-lab --example
//! load_tables`; exits with an error if an answer was wrong.

mod bench;
mod faults;
mod rounds;
mod tables;

use std::process::ExitCode;

use cactusnotch_lab::Failure;

use crate::bench::Bench;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start of the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(wrong) => {
            eprintln!("{wrong} wrong answers");
            ExitCode::FAILURE
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the tables that the first argument names by their letter, or all,
/// and returns the number of wrong answers.
async fn run() -> Result<u64, Failure> {
    let only = std::env::args().nth(1).unwrap_or_default();
    let wanted = |letter: &str| only.is_empty() || only.contains(letter);
    let mut bench = Bench::start().await?;
    if wanted("a") {
        tables::hop(&mut bench).await?;
    }
    if wanted("d") {
        tables::overload(&mut bench).await?;
    }
    if wanted("b") {
        tables::policies(&mut bench).await?;
    }
    if wanted("c") {
        faults::kills(&mut bench).await?;
    }
    Ok(bench.wrong)
}
