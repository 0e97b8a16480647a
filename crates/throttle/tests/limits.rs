//! Tests of rate limits that endpoints announce for all entries together.
//!
//! Cases: one to 380 entries whose demand exceeds the limit of an overloaded endpoint; limits from
//! zero to twenty requests per second, including limits that fall or change each second; lost
//! reports; entries that start, are suspended or are partitioned.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_route::Withheld;
use cactusnotch_throttle::limits::Report;
use cactusnotch_throttle::{Allotment, Header, Headers, Limits, Rate};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(4);
const ENDPOINT: &str = "i-1";
/// The numbers of entries in production, and the larger ones to support.
const SIZES: [usize; 7] = [1, 2, 6, 9, 36, 149, 380];
const LIMITS: [f64; 9] = [0.0, 0.2, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0, 20.0];

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a valid rate")
}

fn hosts(entries: usize) -> Vec<String> {
    (0..entries).map(|at| format!("edge-{at}")).collect()
}

fn announcing(limit: f64) -> Headers {
    Headers {
        limit: Header::Value(rate(limit)),
        ..Headers::default()
    }
}

/// Returns the maximum number of requests that an endpoint tolerates in four seconds.
fn tolerated(limit: f64) -> f64 {
    6.0 * limit + 5.0
}

fn limits(host: &str, entries: &[String], now: Instant) -> Limits {
    let mut limits = Limits::new(host);
    let entries: Vec<_> = entries.iter().map(String::as_str).collect();
    limits.set_entries(&entries, now);
    limits
}

/// Sends a request unless it is withheld; returns whether it was sent.
fn send(limits: &mut Limits, now: Instant) -> bool {
    let withheld = limits.withheld(ENDPOINT);
    let may = !withheld.is_some_and(|withheld| withheld.is_active(now));
    if may {
        limits.record_send(ENDPOINT, now);
    }
    may
}

#[test]
fn parts_add_up_to_the_limit() {
    for entries in SIZES {
        let hosts = hosts(entries);
        for limit in LIMITS {
            let allotment = |host: &String| Allotment::of(host, &hosts, ENDPOINT, rate(limit));
            let allotments: Vec<_> = hosts.iter().filter_map(allotment).collect();
            let holders: Vec<_> = allotments
                .iter()
                .filter(|allotment| allotment.is_holder)
                .collect();
            let sum: f64 = holders
                .iter()
                .map(|allotment| allotment.interval.as_secs_f64().recip())
                .sum();
            let target = limit.max(0.25);
            assert!(
                (sum / target - 1.0).abs() < 1e-6,
                "{entries} entries, {limit}/s: {sum}"
            );
            assert_eq!(
                allotments.len(),
                entries,
                "entries that are not holders may probe"
            );
        }
    }
}

#[test]
fn an_entry_that_is_not_listed_has_no_part() {
    let now = clock::now();
    assert_eq!(Allotment::of("new", &hosts(6), ENDPOINT, rate(1.0)), None);
    let mut unlisted = Limits::new("edge-0");
    unlisted.apply_headers(ENDPOINT, &announcing(5.0), true, now, now);
    assert_eq!(unlisted.withheld(ENDPOINT), Some(Withheld::Indefinitely));
    assert!(!send(&mut unlisted, now + 60 * SECOND));
    unlisted.set_entries(&["edge-0"], now + SECOND);
    assert!(send(&mut unlisted, now + 2 * SECOND));
}

/// One entry of a run.
struct Entry {
    host: String,
    limits: Limits,
    /// The requests in flight, with the time of their arrival at the endpoint.
    arriving: Vec<(Instant, Instant)>,
    /// The responses in flight, with the time of their arrival at the entry.
    responses: Vec<(Instant, Instant, Headers)>,
    /// The reports in flight, with the time of their arrival at the entry.
    reports: Vec<(Instant, Report)>,
}

/// Entries whose demand for an endpoint far exceeds its limit.
struct Run {
    start: Instant,
    now: Instant,
    rng: StdRng,
    entries: Vec<Entry>,
    /// The demand of each entry in requests per second.
    demand: f64,
    /// The fraction of reports that are lost.
    loss: f64,
    /// Entries that are partitioned from the others.
    partitioned: Vec<usize>,
    /// Entries whose hosts are suspended.
    suspended: Vec<usize>,
    arrivals: Vec<Instant>,
}

const STEP: Duration = Duration::from_millis(10);
const TRANSIT: Duration = Duration::from_millis(3);
const GOSSIP_EVERY: u32 = 50;

impl Run {
    fn new(entries: usize, seed: u64) -> Self {
        let start = clock::now();
        let hosts = hosts(entries);
        let entry = |host: &String| Entry {
            host: host.clone(),
            limits: limits(host, &hosts, start),
            arriving: Vec::new(),
            responses: Vec::new(),
            reports: Vec::new(),
        };
        Self {
            start,
            now: start,
            rng: StdRng::seed_from_u64(seed),
            entries: hosts.iter().map(entry).collect(),
            demand: 20.0,
            loss: 1.0 / 30.0,
            partitioned: Vec::new(),
            suspended: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Advances the time by `time` while the endpoint announces `limit`, a function of the time
    /// passed.
    fn pass(&mut self, time: Duration, limit: impl Fn(Duration) -> Option<f64>) {
        let (begin, end) = (self.now, self.now + time);
        let mut step = 0;
        while self.now < end {
            let headers = limit(self.now - begin).map_or_else(Headers::default, announcing);
            for at in 0..self.entries.len() {
                if !self.suspended.contains(&at) {
                    self.step(at, headers);
                }
            }
            if step % GOSSIP_EVERY == 0 {
                self.gossip();
            }
            step += 1;
            self.now += STEP;
        }
    }

    fn step(&mut self, at: usize, headers: Headers) {
        let (now, entry) = (self.now, &mut self.entries[at]);
        for (_, report) in entry.reports.extract_if(.., |(due, _)| *due <= now) {
            entry
                .limits
                .apply_report(&report.endpoint, report.limit, report.at, now);
        }
        let arriving: Vec<_> = entry
            .arriving
            .extract_if(.., |(due, _)| *due <= now)
            .collect();
        for (_, sent) in arriving {
            self.arrivals.push(now);
            let answered = now + Duration::from_millis(self.rng.random_range(2..150));
            entry.responses.push((answered, sent, headers));
        }
        let responses: Vec<_> = entry
            .responses
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        let mut report = None;
        for (_, sent, headers) in responses {
            let change = entry
                .limits
                .apply_headers(ENDPOINT, &headers, true, sent, now);
            if let Some(change) = change.filter(|change| change.is_urgent()) {
                let at = if change.after.is_some() { now } else { sent };
                let (endpoint, limit) = (ENDPOINT.to_owned(), change.after);
                report = Some(Report {
                    endpoint,
                    limit,
                    at,
                });
            }
        }
        let wants = self
            .rng
            .random_bool((self.demand * STEP.as_secs_f64()).min(1.0));
        if wants && send(&mut entry.limits, now) {
            entry.arriving.push((now + TRANSIT, now));
        }
        if let Some(report) = report {
            (0..self.entries.len())
                .filter(|&to| to != at)
                .for_each(|to| self.send_report(at, to, &report));
        }
    }

    fn send_report(&mut self, from: usize, to: usize, report: &Report) {
        let is_cut = self.partitioned.contains(&from) != self.partitioned.contains(&to);
        let is_delivered = !is_cut && !self.suspended.contains(&to);
        if is_delivered && !self.rng.random_bool(self.loss) {
            self.entries[to]
                .reports
                .push((self.now + TRANSIT, report.clone()));
        }
    }

    fn gossip(&mut self) {
        for at in 0..self.entries.len() {
            let to = (0..self.entries.len())
                .filter(|&to| to != at)
                .choose(&mut self.rng);
            let reports: Vec<_> = self.entries[at].limits.reports(self.now).collect();
            for report in reports {
                if let Some(to) = to {
                    self.send_report(at, to, &report);
                }
            }
        }
    }

    /// Returns the maximum number of arrivals within any four seconds that begin after `from`,
    /// counted from the start.
    fn max_in_window(&self, from: Duration) -> f64 {
        let late = &self.arrivals[self.arrivals.partition_point(|&at| at < self.start + from)..];
        let within = |(first, &at): (usize, &Instant)| {
            late[first..].partition_point(|&other| other <= at + WINDOW)
        };
        let most = late.iter().enumerate().map(within).max().unwrap_or(0);
        f64::from(u32::try_from(most).expect("fewer than 2^32 requests"))
    }

    fn count(&self, from: Duration, to: Duration) -> f64 {
        let within = |&&at: &&Instant| at >= self.start + from && at < self.start + to;
        let count = self.arrivals.iter().filter(within).count();
        f64::from(u32::try_from(count).expect("fewer than 2^32 requests"))
    }

    fn all_may_send(&self) -> bool {
        let may_send = |entry: &Entry| entry.limits.withheld(ENDPOINT).is_none();
        self.entries.iter().all(may_send)
    }
}

#[test]
fn all_entries_together_stay_within_what_an_endpoint_bears_and_use_what_it_takes() {
    for entries in SIZES {
        for limit in LIMITS {
            let mut run = Run::new(entries, 1);
            run.demand += 5.0 * limit;
            run.pass(40 * SECOND, |_| Some(limit));
            let most = run.max_in_window(3 * SECOND);
            assert!(
                most <= tolerated(limit),
                "{entries} entries, {limit}/s: {most} in 4 s"
            );
            let used = run.count(10 * SECOND, 40 * SECOND) / 30.0;
            let target = limit.max(0.25);
            assert!(
                used <= target * 1.01 + 0.1,
                "{entries} entries, {limit}/s: {used}/s"
            );
            assert!(
                used >= target * 0.7 - 0.1,
                "{entries} entries, {limit}/s: {used}/s"
            );
        }
    }
}

#[test]
fn a_limit_that_falls_takes_back_what_a_higher_one_allowed() {
    for entries in SIZES {
        for seed in 0..5 {
            let mut run = Run::new(entries, seed);
            run.pass(10 * SECOND, |_| Some(5.0));
            run.pass(20 * SECOND, |_| Some(1.0));
            let most = run.max_in_window(10 * SECOND + Duration::from_millis(500));
            assert!(
                most <= tolerated(1.0),
                "{entries} entries, seed {seed}: {most} in 4 s"
            );
        }
    }
}

#[test]
fn a_limit_that_changes_each_second_is_kept_at_its_highest() {
    let changing = |passed: Duration| {
        Some(match passed.as_secs() % 4 {
            0 => 1.0,
            1 => 3.0,
            2 => 2.0,
            _ => 0.5,
        })
    };
    for entries in SIZES {
        let mut run = Run::new(entries, 2);
        run.pass(40 * SECOND, changing);
        let most = run.max_in_window(3 * SECOND);
        assert!(most <= tolerated(3.0), "{entries} entries: {most} in 4 s");
        let used = run.count(10 * SECOND, 40 * SECOND) / 30.0;
        assert!(
            used < 2.0,
            "{entries} entries: {used}/s, where the mean limit is 1.6/s"
        );
    }
}

#[test]
fn all_entries_observe_the_end_of_a_limit_within_six_seconds() {
    for entries in SIZES {
        for limit in LIMITS {
            let mut run = Run::new(entries, 3);
            run.pass(20 * SECOND, |_| Some(limit));
            run.pass(6 * SECOND, |_| None);
            assert!(run.all_may_send(), "{entries} entries, {limit}/s");
        }
    }
}

/// Datagrams within a data centre are lost at a rate of at most one in thirty; here half of the
/// reports are lost.
#[test]
fn entries_converge_despite_lost_reports() {
    for entries in [6, 36] {
        let mut run = Run::new(entries, 4);
        run.loss = 0.5;
        run.pass(20 * SECOND, |_| Some(1.0));
        let limited = |entry: &Entry| entry.limits.rate(ENDPOINT) == Some(rate(1.0));
        assert!(run.entries.iter().all(limited));
        run.pass(20 * SECOND, |_| None);
        assert!(run.all_may_send());
    }
}

#[test]
fn entries_that_were_cut_off_meanwhile_hear_that_a_limit_is_over() {
    let mut run = Run::new(36, 5);
    run.pass(10 * SECOND, |_| Some(1.0));
    run.partitioned = vec![3, 4];
    run.pass(10 * SECOND, |_| None);
    run.partitioned.clear();
    run.pass(10 * SECOND, |_| None);
    assert!(run.all_may_send());
}

/// An entry on a suspended host resumes with a cached limit that has fallen meanwhile.
#[test]
fn suspended_entries_stay_within_a_lowered_limit() {
    let mut run = Run::new(6, 7);
    run.pass(10 * SECOND, |_| Some(5.0));
    run.suspended = vec![1, 2];
    run.pass(10 * SECOND, |_| Some(1.0));
    run.suspended.clear();
    run.pass(20 * SECOND, |_| Some(1.0));
    let most = run.max_in_window(11 * SECOND);
    assert!(most <= tolerated(1.0), "{most} in 4 s");
}

/// Entries are restarted one after the other and lose their cached limits.
#[test]
fn entries_that_start_learn_a_limit_from_their_first_answer_at_the_latest() {
    let mut run = Run::new(6, 8);
    for at in 0..6 {
        run.pass(10 * SECOND, |_| Some(1.0));
        let now = run.now;
        let host = run.entries[at].host.clone();
        run.entries[at].limits = limits(&host, &hosts(6), now);
        run.pass(SECOND, |_| Some(1.0));
        assert_eq!(run.entries[at].limits.rate(ENDPOINT), Some(rate(1.0)));
    }
    let most = run.max_in_window(3 * SECOND);
    assert!(most <= tolerated(1.0), "{most} in 4 s");
}

/// Entries are replaced: a new entry is in its own list of entries at once, and in those of the
/// others seconds later.
#[test]
fn entries_whose_lists_differ_stay_within_what_an_endpoint_bears() {
    for entries in [6, 9, 36, 149] {
        for limit in LIMITS {
            let mut run = Run::new(entries, 6);
            // Only the two new entries list themselves, and both lists lack a third entry.
            let all = hosts(entries);
            for newcomer in ["edge-x", "edge-y"] {
                let list: Vec<_> = all[1..].iter().map(String::as_str).collect();
                let list: Vec<_> = list.into_iter().chain([newcomer]).collect();
                newcomer.clone_into(&mut run.entries[0].host);
                let mut limits = Limits::new(newcomer);
                limits.set_entries(&list, run.now);
                let entry = Entry {
                    host: newcomer.to_owned(),
                    limits,
                    arriving: Vec::new(),
                    responses: Vec::new(),
                    reports: Vec::new(),
                };
                run.entries.push(entry);
            }
            run.pass(40 * SECOND, |_| Some(limit));
            let most = run.max_in_window(3 * SECOND);
            assert!(
                most <= tolerated(limit),
                "{entries} entries, {limit}/s: {most} in 4 s"
            );
        }
    }
}

/// Sends as many requests as possible at one moment, after a period without demand; returns how
/// many were sent.
fn burst(all: &mut [Limits], limit: f64, now: Instant) -> usize {
    let late = now + 40 * SECOND;
    for limits in &mut *all {
        limits.apply_report(ENDPOINT, Some(rate(limit)), now, now);
    }
    let at_once = |limits: &mut Limits| (0..10).filter(|_| send(limits, late)).count();
    all.iter_mut().map(at_once).sum()
}

#[test]
fn idle_time_accumulates_no_burst() {
    let now = clock::now();
    for entries in SIZES {
        for limit in LIMITS {
            let hosts = hosts(entries);
            let new = |host: &String| limits(host, &hosts, now);
            let mut all: Vec<_> = hosts.iter().map(new).collect();
            let burst = burst(&mut all, limit, now);
            let most = f64::from(u32::try_from(burst).expect("fewer than 2^32 requests"));
            assert!(burst <= entries, "{entries} entries, {limit}/s: {burst}");
            assert!(
                most <= tolerated(limit),
                "{entries} entries, {limit}/s: {burst}"
            );
        }
    }
}

/// Two entries are new, and the lists of the others lack them.
#[test]
fn entries_that_others_do_not_know_yet_fit_into_what_an_endpoint_bears_at_once() {
    let now = clock::now();
    for entries in SIZES {
        for limit in LIMITS {
            let listed = hosts(entries);
            let mut all: Vec<_> = listed
                .iter()
                .map(|host| limits(host, &listed, now))
                .collect();
            for newcomer in ["edge-x", "edge-y"] {
                let mut list = listed.clone();
                list.push(newcomer.to_owned());
                all.push(limits(newcomer, &list, now));
            }
            let burst = burst(&mut all, limit, now);
            let most = f64::from(u32::try_from(burst).expect("fewer than 2^32 requests"));
            assert!(
                most <= tolerated(limit),
                "{entries} entries, {limit}/s: {burst}"
            );
        }
    }
}

#[test]
fn only_an_answer_to_what_ran_ends_a_limit_and_only_if_it_was_sent_after_it() {
    let now = clock::now();
    let mut limits = limits("edge-0", &hosts(1), now);
    let at = |millis| now + Duration::from_millis(millis);
    let absent = Headers::default();
    let invalid = Headers {
        limit: Header::Invalid,
        ..Headers::default()
    };
    limits.apply_headers(ENDPOINT, &announcing(1.0), true, at(0), at(100));
    // The request was sent before the limit was received; refused; an invalid header.
    assert_eq!(
        limits.apply_headers(ENDPOINT, &absent, true, at(50), at(200)),
        None
    );
    assert_eq!(
        limits.apply_headers(ENDPOINT, &absent, false, at(150), at(200)),
        None
    );
    assert_eq!(
        limits.apply_headers(ENDPOINT, &invalid, true, at(150), at(200)),
        None
    );
    assert_eq!(limits.rate(ENDPOINT), Some(rate(1.0)));
    let change = limits.apply_headers(ENDPOINT, &absent, true, at(150), at(250));
    assert_eq!(change.map(|change| change.after), Some(None));
    // A report from before the end of the limit is outdated.
    assert_eq!(
        limits.apply_report(ENDPOINT, Some(rate(1.0)), at(120), at(300)),
        None
    );
    assert_eq!(limits.rate(ENDPOINT), None);
    assert!(
        limits
            .apply_report(ENDPOINT, Some(rate(2.0)), at(280), at(300))
            .is_some()
    );
}

#[test]
fn an_entry_without_a_part_asks_after_a_minute_without_a_word() {
    let now = clock::now();
    let hosts = hosts(149);
    let is_not_holder = |host: &&String| {
        let allotment = Allotment::of(host, &hosts, ENDPOINT, rate(1.0));
        allotment.is_some_and(|allotment| !allotment.is_holder)
    };
    let host = hosts
        .iter()
        .find(is_not_holder)
        .expect("only nine of 149 are holders");
    let mut limits = limits(host, &hosts, now);
    limits.apply_report(ENDPOINT, Some(rate(1.0)), now, now);
    assert!(!send(&mut limits, now + 59 * SECOND));
    // A report in between only extends the time until the probe.
    limits.apply_report(
        ENDPOINT,
        Some(rate(1.0)),
        now + 30 * SECOND,
        now + 30 * SECOND,
    );
    assert!(!send(&mut limits, now + 70 * SECOND));
    let late = now + 90 * SECOND + 149 * SECOND;
    assert!(send(&mut limits, late));
    assert!(!send(&mut limits, late + 100 * SECOND));
}

#[test]
fn old_words_and_endpoints_without_requests_are_forgotten() {
    let now = clock::now();
    let mut limits = limits("edge-0", &hosts(6), now);
    let late = now + 61 * SECOND;
    assert_eq!(
        limits.apply_report(ENDPOINT, Some(rate(1.0)), now, late),
        None
    );
    limits.apply_report(ENDPOINT, Some(rate(1.0)), late, late);
    assert_eq!(limits.reports(late).count(), 1);
    assert_eq!(limits.reports(late + 61 * SECOND).count(), 0);
    assert!(!limits.expire(late + 61 * SECOND));
    assert!(limits.expire(late + 601 * SECOND));
    for number in 0..5_000 {
        limits.apply_report(&format!("i-{number}"), Some(rate(1.0)), late, late);
    }
    assert!(
        limits.limited() < 3_000,
        "the number of cached endpoints is bounded"
    );
}
