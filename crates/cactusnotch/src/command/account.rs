//! `cactusnotch account`: accounts for late and refused streams.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use cactusnotch::account::Account;
use derive_more::{Display, FromStr};

use crate::command::print_json;
use crate::error::Error;

/// The name of standard input as a path.
const STANDARD_INPUT: &str = "-";

/// The format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
enum Format {
    /// Tables, for people.
    #[display("text")]
    Text,
    /// A JSON object, for machines.
    #[display("json")]
    Json,
}

/// Log lines to evaluate.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(account_options))]
pub(crate) struct Options {
    /// Format of the output, text or json
    #[bpaf(long, argument("FORMAT"), fallback(Format::Text), display_fallback)]
    format: Format,
    /// Files of JSON log lines, folders of them, or - for standard input, which is also read
    /// if there is none
    #[bpaf(positional("PATH"))]
    paths: Vec<PathBuf>,
}

/// Reads the logs and prints the report.
pub(crate) fn run(options: &Options) -> Result<(), Error> {
    let mut account = Account::default();
    if options.paths.is_empty() {
        read(Path::new(STANDARD_INPUT), &mut account)?;
    }
    for path in &options.paths {
        read(path, &mut account)?;
    }
    let report = account.report();
    match options.format {
        Format::Json => print_json(&report)?,
        Format::Text => print!("{report}"),
    }
    Ok(())
}

/// Reads a file, standard input, or all files of a folder by their names.
fn read(path: &Path, account: &mut Account) -> Result<(), Error> {
    let fail = |error: io::Error| Error::new(format!("reading {}", path.display()), error);
    if path.is_dir() {
        let entries = std::fs::read_dir(path).map_err(fail)?;
        let paths: io::Result<Vec<_>> = entries.map(|entry| Ok(entry?.path())).collect();
        let mut paths = paths.map_err(fail)?;
        paths.sort();
        return paths.iter().try_for_each(|path| read(path, account));
    }
    if path == Path::new(STANDARD_INPUT) {
        return read_lines(io::stdin().lock(), path, account).map_err(fail);
    }
    let file = File::open(path).map_err(fail)?;
    read_lines(BufReader::new(file), path, account).map_err(fail)
}

fn read_lines(input: impl BufRead, path: &Path, account: &mut Account) -> io::Result<()> {
    for (number, line) in input.split(b'\n').enumerate() {
        let line = line?;
        if !line.trim_ascii().is_empty() {
            account.add(&line, format_args!("{}:{}", path.display(), number + 1));
        }
    }
    Ok(())
}
