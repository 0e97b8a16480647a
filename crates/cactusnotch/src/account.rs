//! Accounts for late and refused streams from the log lines of entries and agents.

pub mod cause;
pub mod history;
pub mod line;
pub mod report;

use std::fmt::Display;
use std::time::Duration;

use cactusnotch_base::Table;

use cause::{Cause, Stream};
use history::{Event, History};
use line::Line;
use report::{Report, Row};

/// The group of a request that no line assigns to one.
const UNKNOWN_GROUP: &str = "-";
/// Part of the message of each line that a request waits at an entry.
const WAITS: &str = "waits";
/// The causes that lines on refusals state.
const CAUSES: [&str; 3] = ["hopeless", "expired", "full"];
/// The skew of a round, in thousandths, from which demand has shifted; a group whose map
/// fits the demand stays below.
const SHIFTED_SKEW: f64 = 1_800.0;
/// The factor from which a rank is slow, as for new work.
const SLOW_PACE: f64 = 2.0;
/// The most unreadable lines that are named; the others are only counted.
const NAMED_MAX: usize = 20;
/// Stands for the slowest rank of a group, whose name the leader's lines don't state.
const SLOWEST: &str = "";

/// The lines of a log.
#[derive(Debug, Default)]
pub struct Account {
    lines: Vec<Line>,
    /// The requests that waited, by id, with the time since which they did.
    waits: Vec<(String, Duration)>,
    /// The sends of requests, by id.
    sends: Vec<(String, Duration)>,
    /// The causes that lines state for refusals, by the id of the request.
    refusals: Vec<(String, String)>,
    /// The group of each endpoint that a line states one for.
    groups: Table<String, String>,
    /// The group, if lines name only one.
    only_group: Option<String>,
    /// The ranks that are slow after the lines that were applied, each with its group.
    slow_ranks: Vec<(String, String)>,
    history: History,
    report: Report,
}

impl Account {
    /// Adds a line, in any order; `place` names its file and number.
    pub fn add(&mut self, line: &[u8], place: impl Display) {
        match Line::parse(line) {
            Ok(line) => self.lines.push(line),
            Err(reason) => {
                self.report.unreadable += 1;
                if self.report.unreadable <= NAMED_MAX {
                    let named = format!("{place}: {reason}");
                    self.report.first_unreadable.push(named);
                }
            }
        }
    }

    /// Evaluates the lines.
    #[must_use]
    pub fn report(mut self) -> Report {
        let mut lines = std::mem::take(&mut self.lines);
        lines.sort_by_key(|line| line.at);
        self.name_groups(&lines);
        for line in &lines {
            self.measure(line);
        }
        self.waits.sort();
        self.sends.sort();
        self.refusals.sort();
        for line in &lines {
            match line.message.as_str() {
                "request ended" => self.end(line),
                "request refused" => self.refuse(line, false),
                _ => {}
            }
        }
        self.report
    }

    fn name_groups(&mut self, lines: &[Line]) {
        let mut names: Vec<_> = lines.iter().filter_map(|line| line.text("group")).collect();
        names.sort_unstable();
        names.dedup();
        if let [only] = names.as_slice() {
            self.only_group = Some((*only).to_owned());
        }
        for line in lines {
            if let (Some(endpoint), Some(group)) = (line.text("endpoint"), line.text("group")) {
                self.groups.insert(endpoint.to_owned(), group.to_owned());
            }
        }
    }

    /// Applies a line that describes a group or a part of a request.
    fn measure(&mut self, line: &Line) {
        let (group, at) = (self.group(line), line.at);
        if let Some(limit) = line.ratio("limit") {
            self.row(at, &group).limit.add(limit);
        }
        if let Some(cause) = line.text("cause").filter(|cause| CAUSES.contains(cause)) {
            self.refusals.push((line.id(), cause.to_owned()));
        }
        match line.message.as_str() {
            "send ended" => self.send(line, &group),
            "demand has turned" => self.history.record(&group, at, Event::Shift),
            "group held" | "map in force" => {
                self.row(at, &group).observe_pass(line.number("pass_ms"));
                self.history.record(&group, at, Event::Map);
            }
            "round begun" => {
                if line.number("skew").is_some_and(|skew| skew >= SHIFTED_SKEW) {
                    self.history.record(&group, at, Event::Shift);
                }
                self.pace(at, &group, SLOWEST, line.number("slowest"));
            }
            "endpoint has another pace" => {
                let endpoint = line.text("endpoint").unwrap_or_default();
                self.pace(at, &group, endpoint, line.number("pace"));
            }
            "group has opened or broken" if line.flag("open") == Some(false) => {
                self.history.record(&group, at, Event::Broken);
            }
            message if message.contains(WAITS) => self.waits.push((line.id(), at)),
            _ => {}
        }
    }

    /// Applies the pace of a rank, as entries or the leader observe it.
    fn pace(&mut self, at: Duration, group: &str, observed: &str, pace: Option<f64>) {
        let rank = (group.to_owned(), observed.to_owned());
        self.slow_ranks.retain(|slow| *slow != rank);
        if pace.is_some_and(|pace| pace >= SLOW_PACE) {
            self.slow_ranks.push(rank);
        }
        let is_slow = self.slow_ranks.iter().any(|slow| slow.0 == group);
        let event = if is_slow { Event::Slow } else { Event::Even };
        self.history.record(group, at, event);
    }

    /// Applies a request's time at an endpoint; the line states the load at its begin.
    fn send(&mut self, line: &Line, group: &str) {
        let begun = line.at.saturating_sub(line.time("ms").unwrap_or_default());
        self.sends.push((line.id(), begun));
        let row = self.row(begun, group);
        row.started += 1;
        row.observe_pass(line.number("pass_ms"));
        if let Some(fill) = line.ratio("fill") {
            row.fill.add(fill);
        }
    }

    /// Applies the end of a request that an endpoint was sought for.
    fn end(&mut self, line: &Line) {
        let group = self.group(line);
        let since = first(&self.waits, &line.id());
        if let Some(since) = since {
            let until = first(&self.sends, &line.id()).unwrap_or(line.at);
            for second in since.as_secs()..=until.as_secs() {
                self.row(Duration::from_secs(second), &group).waiting += 1;
            }
        }
        if line.number("status") == Some(503.0) {
            return self.refuse(line, since.is_some());
        }
        if line.time("first_ms").is_none() {
            return;
        }
        self.report.streams += 1;
        if matches!(line.text("outcome"), Some("broken off" | "time up")) {
            self.report.cut_off += 1;
        } else if let Some(cause) = self.lateness(line, &group) {
            self.row(line.at, &group).late.add(cause, line);
            self.report.late.add(cause, line);
        }
    }

    /// Returns why a stream is late; `None` if it is on time.
    fn lateness(&self, line: &Line, group: &str) -> Option<Cause> {
        let stream = Stream {
            returned: line.flag("returned") == Some(true),
            resumed: line.number("resumed").is_some_and(|times| times > 0.0),
            first: line.time("first_ms"),
            target: line.time("target_ms"),
            gap: line.time("max_gap_ms"),
            target_gap: line.time("target_gap_ms"),
        };
        let arrived = line.at.saturating_sub(line.time("ms").unwrap_or_default());
        let begun = arrived + line.time("max_gap_at_ms").unwrap_or_default();
        let end = begun + stream.gap.unwrap_or_default();
        let mut around = self.history.around(group, begun, end);
        if let Some(row) = self.report.row(begun.as_secs(), group) {
            (around.fill, around.limit) = (row.fill.value(), row.limit.value());
        }
        Cause::of_late(&stream, &around)
    }

    fn refuse(&mut self, line: &Line, waited: bool) {
        let outcome = line.text("outcome").unwrap_or_default();
        let stated = first(&self.refusals, &line.id());
        let cause = Cause::of_refusal(stated.as_deref(), outcome, waited);
        let group = self.group(line);
        self.row(line.at, &group).refused.add(cause, line);
        self.report.refused.add(cause, line);
    }

    /// Returns the group that a line states, or else that of its endpoint, or the only one.
    fn group(&self, line: &Line) -> String {
        let of_endpoint = || self.groups.get(line.text("endpoint")?).map(String::as_str);
        let group = line.text("group").or_else(of_endpoint);
        let group = group.or(self.only_group.as_deref());
        group.unwrap_or(UNKNOWN_GROUP).to_owned()
    }

    fn row(&mut self, at: Duration, group: &str) -> &mut Row {
        self.report.row_mut(at.as_secs(), group)
    }
}

/// Returns the first value of `id` in rows that are sorted.
fn first<T: Clone>(rows: &[(String, T)], id: &str) -> Option<T> {
    let at = rows.partition_point(|(known, _)| known.as_str() < id);
    let row = rows.get(at).filter(|(known, _)| known == id);
    row.map(|(_, value)| value.clone())
}
