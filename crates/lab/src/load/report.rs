//! What came of a load.

use std::time::Duration;

use crate::Figures;
use crate::caller::Answer;

/// How a request ended, for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// With a whole answer in time.
    Whole,
    /// With a refusal that says that it did not run.
    NotRun,
    /// With a refusal that says that this is unknown.
    Unknown,
    /// With any other response.
    Other,
    /// With an answer that broke off.
    Broken,
    /// Without a connection.
    Unconnected,
    /// Without a response.
    Silent,
    /// With the deadline, at which the caller went away.
    Expired,
}

/// What a caller saw of one request, over all its tries.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) at: Duration,
    pub(crate) late: Duration,
    /// When it ended, after the begin of the load.
    pub(crate) ended: Duration,
    pub(crate) end: End,
    pub(crate) is_wrong: bool,
    pub(crate) again: u64,
    pub(crate) resumed: u64,
    pub(crate) answers: Vec<Answer>,
}

/// The requests that arrived within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// The requests.
    pub offered: u64,
    /// Those that got their whole answer in time.
    pub good: u64,
}

/// What came of a load.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The requests.
    pub offered: u64,
    /// Those that got their whole answer in time.
    pub good: u64,
    /// Those of them whose answer ended while requests arrived.
    pub good_meanwhile: u64,
    /// Those that were refused as not run.
    pub not_run: u64,
    /// Those of which it is unknown whether they ran.
    pub unknown: u64,
    /// Those that got another response, such as an engine's refusal.
    pub other: u64,
    /// Those whose answer broke off.
    pub broken: u64,
    /// Those without a response.
    pub silent: u64,
    /// Those whose caller went away at the deadline.
    pub expired: u64,
    /// The answers that held anything but what the engine makes for the
    /// request, or that were short and taken as whole.
    pub wrong: u64,
    /// The times that requests were sent again from the start.
    pub again: u64,
    /// The times that answers were resumed.
    pub resumed: u64,
    /// The tokens that came.
    pub tokens: u64,
    /// How much later than planned a request was sent, at most.
    pub late: Duration,
    /// How long requests arrived.
    pub arriving: Duration,
    /// How long it took until the last request had ended.
    pub time: Duration,
    /// The times to the first token after the planned arrival, and between
    /// tokens, of the answers that were whole in time.
    pub figures: Figures,
    /// The requests by the second of their arrival.
    pub seconds: Vec<Second>,
}

impl Report {
    /// Returns the whole answers in time that ended while requests arrived,
    /// for each second of that. What a queue holds at the end does not count.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        per_second(self.good_meanwhile, self.arriving)
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        per_second(self.offered, self.arriving)
    }

    /// Returns the tokens for each second until the last request had ended.
    #[must_use]
    pub fn throughput(&self) -> f64 {
        per_second(self.tokens, self.time)
    }

    /// Returns the fraction of requests that got their whole answer in time.
    #[must_use]
    pub fn good_fraction(&self) -> f64 {
        fraction(self.good, self.offered)
    }

    /// Returns the same of the requests that arrived in some of the seconds.
    #[must_use]
    pub fn good_within(&self, seconds: std::ops::Range<usize>) -> f64 {
        let range = self.seconds.get(seconds).unwrap_or_default();
        let good = range.iter().map(|second| second.good).sum();
        let offered = range.iter().map(|second| second.offered).sum();
        fraction(good, offered)
    }

    pub(crate) fn add(&mut self, told: &Told) {
        self.offered += 1;
        self.wrong += u64::from(told.is_wrong);
        self.again += told.again;
        self.resumed += told.resumed;
        self.late = self.late.max(told.late);
        for answer in &told.answers {
            let first = u64::from(answer.first_token.is_some());
            self.tokens += answer.gaps.len() as u64 + first;
        }
        let count = match told.end {
            End::Whole => &mut self.good,
            End::NotRun => &mut self.not_run,
            End::Unknown => &mut self.unknown,
            End::Other => &mut self.other,
            End::Broken => &mut self.broken,
            End::Unconnected | End::Silent => &mut self.silent,
            End::Expired => &mut self.expired,
        };
        *count += 1;
        let is_good = told.end == End::Whole;
        if is_good {
            self.good_meanwhile += u64::from(told.ended <= self.arriving);
            told.answers
                .iter()
                .for_each(|answer| self.figures.add(answer));
        }
        self.count_second(told.at, is_good);
    }

    fn count_second(&mut self, at: Duration, is_good: bool) {
        let second = usize::try_from(at.as_secs()).unwrap_or_default();
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        self.seconds[second].offered += 1;
        self.seconds[second].good += u64::from(is_good);
    }
}

/// Returns a count for each second of `time`.
fn per_second(count: u64, time: Duration) -> f64 {
    float(count) / time.as_secs_f64().max(f64::EPSILON)
}

fn fraction(part: u64, whole: u64) -> f64 {
    float(part) / float(whole).max(1.0)
}

fn float(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
