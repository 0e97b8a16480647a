//! The cluster's secrets, from files or from the environment.

use std::path::{Path, PathBuf};
use std::{env, fs};

use bpaf::{Bpaf, Parser};
use cactusnotch_link::{Secret, secret};
use derive_more::{Display, Error as StdError};

use crate::value::variable;

/// The variable that holds the current secret if no file is given.
const CURRENT: &str = "CACTUSNOTCH_SECRET";

/// The variable that holds the previous secret if no file is given.
const PREVIOUS: &str = "CACTUSNOTCH_PREVIOUS_SECRET";

/// The cluster's secrets: the current one and, during a rotation, the
/// previous one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Secrets {
    /// The secrets, the current one first.
    pub list: Vec<Secret>,
}

/// A failure to read the secrets.
#[derive(Debug, Display, StdError)]
pub enum Error {
    /// A file cannot be read.
    #[display("--{flag} ({}): can't read {}: {source}", variable(flag), path.display())]
    Unreadable {
        /// The flag that names the file.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// The error of the read.
        source: std::io::Error,
    },
    /// A secret is invalid.
    #[display("{origin}: {source}")]
    Refused {
        /// The source of the secret: a file or a variable.
        origin: String,
        /// The reason why it is invalid.
        source: secret::Error,
    },
    /// No secret is given.
    #[display(
        "no secret: give --secret-file FILE (CACTUSNOTCH_SECRET_FILE) or set {CURRENT}; \
         allowed: at least {} bytes",
        secret::MIN_LENGTH
    )]
    Missing,
}

#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(files))]
struct Files {
    /// File that holds the cluster's secret; without it `CACTUSNOTCH_SECRET` holds the secret itself
    #[bpaf(
        long("secret-file"),
        env("CACTUSNOTCH_SECRET_FILE"),
        argument("FILE"),
        optional
    )]
    current: Option<PathBuf>,
    /// File that holds the previous secret during a rotation; without it
    /// `CACTUSNOTCH_PREVIOUS_SECRET` may hold it
    #[bpaf(
        long("previous-secret-file"),
        env("CACTUSNOTCH_PREVIOUS_SECRET_FILE"),
        argument("FILE"),
        optional
    )]
    previous: Option<PathBuf>,
}

/// Returns the parser of [`Secrets`].
///
/// No flag takes a secret itself, because other users of a host can read the
/// command lines of its processes. Help and errors do not contain it either.
#[must_use]
pub fn secrets() -> impl Parser<Secrets> {
    files().parse(|files| read(&files))
}

fn read(files: &Files) -> Result<Secrets, Error> {
    let current =
        read_secret("secret-file", files.current.as_deref(), CURRENT)?.ok_or(Error::Missing)?;
    let previous = read_secret("previous-secret-file", files.previous.as_deref(), PREVIOUS)?;
    Ok(Secrets {
        list: [Some(current), previous].into_iter().flatten().collect(),
    })
}

fn read_secret(
    flag: &'static str,
    path: Option<&Path>,
    variable: &'static str,
) -> Result<Option<Secret>, Error> {
    let (origin, bytes) = if let Some(path) = path {
        let origin = format!("--{flag} {}", path.display());
        (origin, from_file(flag, path)?)
    } else if let Some(text) = env::var_os(variable) {
        (variable.to_owned(), text.into_encoded_bytes())
    } else {
        return Ok(None);
    };
    Secret::new(bytes)
        .map(Some)
        .map_err(|source| Error::Refused { origin, source })
}

/// Reads a file without trailing white space, such as the line end that editors
/// append.
fn from_file(flag: &'static str, path: &Path) -> Result<Vec<u8>, Error> {
    let bytes = fs::read(path).map_err(|source| Error::Unreadable {
        flag,
        path: path.to_owned(),
        source,
    })?;
    Ok(bytes.trim_ascii_end().to_vec())
}
