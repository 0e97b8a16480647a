//! The result of an evaluation.

use std::fmt;
use std::time::{Duration, SystemTime};

use serde::Serialize;

use super::cause::Cause;
use super::line::Line;

/// The number of requests that had a cause.
#[derive(Debug, Clone, Serialize)]
pub struct Part {
    /// The cause.
    pub cause: Cause,
    /// The number of requests.
    pub count: u32,
    /// The id of the first of them.
    pub first: String,
}

/// The numbers of requests by cause, in the order of the causes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally(Vec<Part>);

/// The mean of the values that lines state.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[serde(into = "Option<f64>")]
pub struct Mean {
    sum: f64,
    count: u32,
}

/// The requests and the state of one group in one second.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Row {
    /// The second, since the start of 1970.
    pub second: u64,
    /// The group.
    pub group: String,
    /// The sends that began.
    pub started: u32,
    /// The requests that waited at entries at any time of it.
    pub waiting: u32,
    /// The requests that were refused.
    pub refused: Tally,
    /// The late streams that ended.
    pub late: Tally,
    /// The mean fill, a fraction of the slots.
    pub fill: Mean,
    /// The mean limit, a fraction of the slots.
    pub limit: Mean,
    /// The longest pass in milliseconds, if any was stated.
    pub pass_ms: Option<f64>,
}

/// The result of an evaluation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// The rows, by second and group.
    pub seconds: Vec<Row>,
    /// The streams that sent an event.
    pub streams: u32,
    /// Those that ended incomplete.
    pub cut_off: u32,
    /// Those that were late.
    pub late: Tally,
    /// The requests that were refused.
    pub refused: Tally,
    /// The number of lines that could not be read.
    pub unreadable: usize,
    /// The place of the first of them, and why.
    pub first_unreadable: Vec<String>,
}

impl Tally {
    /// Counts the request that a line is about.
    pub(super) fn add(&mut self, cause: Cause, line: &Line) {
        match self.0.binary_search_by_key(&cause, |part| part.cause) {
            Ok(at) => self.0[at].count += 1,
            Err(at) => {
                let first = line.id();
                self.0.insert(
                    at,
                    Part {
                        cause,
                        count: 1,
                        first,
                    },
                );
            }
        }
    }

    fn total(&self) -> u32 {
        self.0.iter().map(|part| part.count).sum()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |part: &Part| format!("{} {}", part.count, part.cause);
        let parts: Vec<_> = self.0.iter().map(part).collect();
        formatter.pad(&parts.join(", "))
    }
}

impl Mean {
    /// Adds a value.
    pub(super) fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    /// Returns the mean; `None` without a value.
    #[must_use]
    pub fn value(self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

impl From<Mean> for Option<f64> {
    fn from(mean: Mean) -> Self {
        mean.value()
    }
}

impl Row {
    /// Applies the duration of a pass, if a line states it.
    pub(super) fn observe_pass(&mut self, pass_ms: Option<f64>) {
        let known = self.pass_ms.unwrap_or_default();
        self.pass_ms = pass_ms.map(|pass| pass.max(known)).or(self.pass_ms);
    }
}

impl Report {
    /// Returns the row of a group in a second.
    #[must_use]
    pub fn row(&self, second: u64, group: &str) -> Option<&Row> {
        Some(&self.seconds[self.position(second, group).ok()?])
    }

    pub(super) fn row_mut(&mut self, second: u64, group: &str) -> &mut Row {
        let at = match self.position(second, group) {
            Ok(at) => at,
            Err(at) => {
                let group = group.to_owned();
                let row = Row {
                    second,
                    group,
                    ..Row::default()
                };
                self.seconds.insert(at, row);
                at
            }
        };
        &mut self.seconds[at]
    }

    fn position(&self, second: u64, group: &str) -> Result<usize, usize> {
        let key = |row: &Row| (row.second, row.group.as_str()).cmp(&(second, group));
        self.seconds.binary_search_by(key)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_dash = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
        let ratio = |mean: Mean| or_dash(mean.value().map(|value| format!("{value:.2}")));
        writeln!(
            out,
            "SECOND               GROUP      STARTED WAITING  FILL LIMIT  PASS  {:<24} LATE",
            "REFUSED"
        )?;
        for row in &self.seconds {
            let pass = or_dash(row.pass_ms.map(|pass| pass.to_string()));
            let (fill, limit) = (ratio(row.fill), ratio(row.limit));
            let time = SystemTime::UNIX_EPOCH + Duration::from_secs(row.second);
            let time = humantime::format_rfc3339_seconds(time);
            let Row {
                group,
                started,
                waiting,
                refused,
                late,
                ..
            } = row;
            let line = format!(
                "{time} {group:<10} {started:>7} {waiting:>7} {fill:>5} {limit:>5} {pass:>5}  {refused:<24} {late}"
            );
            writeln!(out, "{}", line.trim_end())?;
        }
        let (late, refused) = (self.late.total(), self.refused.total());
        let (streams, cut_off) = (self.streams, self.cut_off);
        writeln!(
            out,
            "\n{streams} streams: {late} late, {cut_off} cut off; {refused} refused"
        )?;
        for Part {
            cause,
            count,
            first,
        } in self.late.0.iter().chain(self.refused.0.iter())
        {
            writeln!(out, "{count:>6}  {:<26} first {first}", cause.to_string())?;
        }
        writeln!(out, "{:>6}  unreadable lines", self.unreadable)?;
        let mut places = self.first_unreadable.iter();
        places.try_for_each(|place| writeln!(out, "        {place}"))
    }
}
