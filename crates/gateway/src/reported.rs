//! Which objects that can't be read have been told of in the log.

/// The most that are remembered: a writer gone wrong may write thousands.
const KEPT_MAX: usize = 256;

/// Which objects that can't be read have been told of, and why they can't be.
///
/// Objects are seen again with each listing; each is told of once for each reason, and
/// none any more once too many were.
#[derive(Debug, Default)]
pub(crate) struct ReportedErrors {
    /// Names with what was wrong, sorted.
    known: Vec<(String, String)>,
}

impl ReportedErrors {
    /// Tells whether an object has to be told of, and remembers it if so.
    pub(crate) fn is_new(&mut self, name: &str, detail: &str) -> bool {
        let key =
            |known: &(String, String)| (known.0.as_str(), known.1.as_str()).cmp(&(name, detail));
        let Err(at) = self.known.binary_search_by(key) else {
            return false;
        };
        if self.known.len() >= KEPT_MAX {
            return false;
        }
        self.known.insert(at, (name.to_owned(), detail.to_owned()));
        true
    }
}
