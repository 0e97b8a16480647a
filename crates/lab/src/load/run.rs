//! The course of a load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

use super::report::{End, Told};
use super::{Arrival, Error, Options, Plan, Report, Streamer, Targets};
use crate::caller::{Answer, Ask, Outcome};

/// Sends the requests of `plan`, each at its time, and returns what came of
/// them once the last has ended.
pub async fn run(options: &Options, plan: Plan, targets: Arc<Targets>) -> Report {
    let streamer = Streamer::default();
    let begin = clock::now();
    let mut requests = JoinSet::new();
    for (number, arrival) in plan.arrivals.into_iter().enumerate() {
        let start = begin + arrival.at;
        tokio::time::sleep(start.remaining()).await;
        let course = Course {
            streamer: streamer.clone(),
            targets: Arc::clone(&targets),
            random: StdRng::seed_from_u64(options.seed ^ number as u64),
            expected: arrival.ask.expected(),
            start,
            until: start + options.deadline,
            tried: Vec::new(),
            text: String::new(),
        };
        requests.spawn(course.run(arrival, options.tries));
    }
    let mut report = Report {
        arriving: options.duration,
        ..Report::default()
    };
    while let Some(told) = requests.join_next().await {
        if let Ok(told) = told {
            report.add(&told);
        }
    }
    report.time = begin.elapsed();
    report
}

/// One request, over all its tries.
struct Course {
    streamer: Streamer,
    targets: Arc<Targets>,
    random: StdRng,
    expected: String,
    start: Instant,
    until: Instant,
    tried: Vec<SocketAddr>,
    text: String,
}

impl Course {
    async fn run(mut self, arrival: Arrival, tries: usize) -> Told {
        let mut told = Told {
            at: arrival.at,
            late: self.start.elapsed(),
            ended: Duration::ZERO,
            end: End::Silent,
            is_wrong: false,
            again: 0,
            resumed: 0,
            answers: Vec::new(),
        };
        let mut ask = arrival.ask;
        for left in (0..tries).rev() {
            let Some(address) = self.targets.choose(&self.tried, &mut self.random) else {
                return told;
            };
            self.tried.push(address);
            let asked = self
                .streamer
                .ask(address, &ask, self.start, self.until)
                .await;
            self.take(asked, &mut told);
            told.ended = arrival.at + self.start.elapsed();
            if left == 0 || !self.goes_on(&mut ask, &mut told) {
                return told;
            }
        }
        told
    }

    /// Takes what came of one try.
    fn take(&mut self, asked: Result<Outcome, Error>, told: &mut Told) {
        told.end = match asked {
            Ok(Outcome::Whole(answer)) => {
                self.add(answer, told);
                told.is_wrong |= self.text != self.expected;
                End::Whole
            }
            Ok(Outcome::Broken(answer)) => {
                self.add(answer, told);
                told.is_wrong |= !self.expected.starts_with(&self.text);
                if clock::now() >= self.until {
                    End::Expired
                } else {
                    End::Broken
                }
            }
            Ok(Outcome::Refused { outcome, .. }) if outcome == "not-run" => End::NotRun,
            Ok(Outcome::Refused { outcome, .. }) if outcome == "unknown" => End::Unknown,
            Ok(Outcome::Refused { .. }) => End::Other,
            Err(Error::Late { .. }) => End::Expired,
            Err(Error::Unconnected { .. }) => End::Unconnected,
            Err(Error::Silent { .. }) => End::Silent,
        };
    }

    fn add(&mut self, answer: Answer, told: &mut Told) {
        self.text.push_str(&answer.text);
        told.answers.push(answer);
    }

    /// Tells whether the caller sends the request once more, and makes it the
    /// one to send.
    fn goes_on(&mut self, ask: &mut Ask, told: &mut Told) -> bool {
        let may_repeat = ask.idempotent == Some(true);
        match told.end {
            End::Unconnected => {}
            End::Broken | End::Silent if may_repeat || ask.key.is_some() => {}
            _ => return false,
        }
        let last = told.answers.last().map(|answer| answer.last_event);
        ask.after = last.filter(|last| *last > 0 && !may_repeat);
        if ask.after.is_some() {
            told.resumed += 1;
        } else {
            self.text.clear();
            told.answers.clear();
            told.again += 1;
        }
        true
    }
}
