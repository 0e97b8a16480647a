//! The entry of cactusnotch and the operators' commands.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod command;
mod error;
mod options;

use std::process::ExitCode;

use crate::error::Error;
use crate::options::{Command, command as arguments};

fn main() -> ExitCode {
    let command = arguments().run();
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cactusnotch: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Entry(options) => command::entry::run(options),
        Command::Gateway(options) => command::platform::gateway(&options),
        Command::Rebalance(options) => command::platform::rebalance(&options),
        Command::Status(options) => command::status::run(&options),
        Command::Addresses(options) => command::addresses::run(&options),
        Command::Account(options) => command::account::run(&options),
        Command::Check { paths } => command::settings::check(&paths),
        Command::Settings(options) => command::settings::run(options),
    }
}
