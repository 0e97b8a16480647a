//! Errors about unreadable objects that have already been logged.

/// Limit of remembered errors: a faulty writer may produce thousands of unreadable
/// objects.
const KEPT_MAX: usize = 256;

/// The errors about unreadable objects that have already been logged.
///
/// Each listing returns the same objects again. An object is logged once per reason; once
/// [`KEPT_MAX`] errors are remembered, no further one is logged.
#[derive(Debug, Default)]
pub(crate) struct ReportedErrors {
    /// Object names with the error, sorted.
    logged: Vec<(String, String)>,
}

impl ReportedErrors {
    /// Returns whether an error has not been logged yet, and remembers it if so.
    pub(crate) fn is_new(&mut self, name: &str, detail: &str) -> bool {
        let key =
            |logged: &(String, String)| (logged.0.as_str(), logged.1.as_str()).cmp(&(name, detail));
        let Err(at) = self.logged.binary_search_by(key) else {
            return false;
        };
        if self.logged.len() >= KEPT_MAX {
            return false;
        }
        self.logged.insert(at, (name.to_owned(), detail.to_owned()));
        true
    }
}
