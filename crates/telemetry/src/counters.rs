//! The summary of counters in the log.

use std::fmt::Write as _;

use cactusnotch_base::Table;

/// The values of the last summary, kept to report only changes.
#[derive(Debug, Default)]
pub struct Summary {
    last: Table<String, String>,
}

impl Summary {
    /// Returns the series of `scrape` that have changed since the last call, as
    /// `name=value` pairs, or `None` if no series has.
    pub fn next(&mut self, scrape: &str) -> Option<String> {
        let mut line = String::new();
        for (series, value) in scrape.lines().filter_map(sample) {
            if self.last.get(series).is_some_and(|last| last == value) {
                continue;
            }
            let gap = if line.is_empty() { "" } else { " " };
            let _ = write!(line, "{gap}{series}={value}");
            self.last.insert(series.to_owned(), value.to_owned());
        }
        (!line.is_empty()).then_some(line)
    }
}

/// Splits a sample of the scrape into series and value; `None` for comments and
/// buckets.
fn sample(line: &str) -> Option<(&str, &str)> {
    if line.starts_with('#') || line.contains("_bucket{") {
        return None;
    }
    line.rsplit_once(' ')
}
