//! Limits that endpoints name for all entries together.
//!
//! Patterns: six to 380 entries with more to send than an endpoint in need takes, limits from
//! none to twenty a second, ones that fall and that change each second, words that are lost,
//! entries that start, sleep or are cut off.

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
/// The sizes of entries in service, and those to design for.
const SIZES: [usize; 7] = [1, 2, 6, 9, 36, 149, 380];
const LIMITS: [f64; 9] = [0.0, 0.2, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0, 20.0];

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

fn hosts(entries: usize) -> Vec<String> {
    (0..entries).map(|at| format!("edge-{at}")).collect()
}

fn names(limit: f64) -> Headers {
    Headers {
        limit: Header::Value(rate(limit)),
        ..Headers::default()
    }
}

/// What an endpoint bears in four seconds.
fn borne(limit: f64) -> f64 {
    6.0 * limit + 5.0
}

fn limits(host: &str, entries: &[String], now: Instant) -> Limits {
    let mut limits = Limits::new(host);
    let entries: Vec<_> = entries.iter().map(String::as_str).collect();
    limits.set_entries(&entries, now);
    limits
}

/// Sends a request if the endpoint may have one; returns whether it may.
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
            let part = |host: &String| Allotment::of(host, &hosts, ENDPOINT, rate(limit));
            let parts: Vec<_> = hosts.iter().filter_map(part).collect();
            let holders: Vec<_> = parts.iter().filter(|part| part.is_holder).collect();
            let sum: f64 = holders
                .iter()
                .map(|part| part.interval.as_secs_f64().recip())
                .sum();
            let aim = limit.max(0.25);
            assert!(
                (sum / aim - 1.0).abs() < 1e-6,
                "{entries} entries, {limit}/s: {sum}"
            );
            assert_eq!(parts.len(), entries, "one that holds none may ask");
        }
    }
}

#[test]
fn an_entry_that_is_not_listed_has_no_part() {
    let now = clock::now();
    assert_eq!(Allotment::of("new", &hosts(6), ENDPOINT, rate(1.0)), None);
    let mut alone = Limits::new("edge-0");
    alone.apply_headers(ENDPOINT, &names(5.0), true, now, now);
    assert_eq!(alone.withheld(ENDPOINT), Some(Withheld::Indefinitely));
    assert!(!send(&mut alone, now + 60 * SECOND));
    alone.set_entries(&["edge-0"], now + SECOND);
    assert!(send(&mut alone, now + 2 * SECOND));
}

/// One entry of a run.
struct Entry {
    host: String,
    limits: Limits,
    /// The requests under way: when they arrive at the endpoint or when their answers come.
    arriving: Vec<(Instant, Instant)>,
    answers: Vec<(Instant, Instant, Headers)>,
    words: Vec<(Instant, Report)>,
}

/// Entries that would send an endpoint far more than it takes.
struct Run {
    start: Instant,
    now: Instant,
    rng: StdRng,
    entries: Vec<Entry>,
    /// The requests a second that each entry would send.
    demand: f64,
    /// The part of words that are lost.
    loss: f64,
    /// Entries that neither hear nor tell others.
    cut_off: Vec<usize>,
    /// Entries whose hosts are suspended.
    asleep: Vec<usize>,
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
            answers: Vec::new(),
            words: Vec::new(),
        };
        Self {
            start,
            now: start,
            rng: StdRng::seed_from_u64(seed),
            entries: hosts.iter().map(entry).collect(),
            demand: 20.0,
            loss: 1.0 / 30.0,
            cut_off: Vec::new(),
            asleep: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Lets `time` pass while the endpoint names `limit`, which depends on the time passed.
    fn pass(&mut self, time: Duration, limit: impl Fn(Duration) -> Option<f64>) {
        let (begin, end) = (self.now, self.now + time);
        let mut step = 0;
        while self.now < end {
            let said = limit(self.now - begin).map_or_else(Headers::default, names);
            for at in 0..self.entries.len() {
                if !self.asleep.contains(&at) {
                    self.step(at, said);
                }
            }
            if step % GOSSIP_EVERY == 0 {
                self.gossip();
            }
            step += 1;
            self.now += STEP;
        }
    }

    fn step(&mut self, at: usize, said: Headers) {
        let (now, entry) = (self.now, &mut self.entries[at]);
        for (_, word) in entry.words.extract_if(.., |(due, _)| *due <= now) {
            entry
                .limits
                .apply_report(&word.endpoint, word.limit, word.at, now);
        }
        let arriving: Vec<_> = entry
            .arriving
            .extract_if(.., |(due, _)| *due <= now)
            .collect();
        for (_, sent) in arriving {
            self.arrivals.push(now);
            let answered = now + Duration::from_millis(self.rng.random_range(2..150));
            entry.answers.push((answered, sent, said));
        }
        let answers: Vec<_> = entry
            .answers
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        let mut told = None;
        for (_, sent, said) in answers {
            let change = entry.limits.apply_headers(ENDPOINT, &said, true, sent, now);
            if let Some(change) = change.filter(|change| change.is_urgent()) {
                let at = if change.after.is_some() { now } else { sent };
                let (endpoint, limit) = (ENDPOINT.to_owned(), change.after);
                told = Some(Report {
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
        if let Some(word) = told {
            (0..self.entries.len())
                .filter(|&to| to != at)
                .for_each(|to| self.tell(at, to, &word));
        }
    }

    fn tell(&mut self, from: usize, to: usize, word: &Report) {
        let is_cut = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        let hears = !is_cut && !self.asleep.contains(&to);
        if hears && !self.rng.random_bool(self.loss) {
            self.entries[to]
                .words
                .push((self.now + TRANSIT, word.clone()));
        }
    }

    fn gossip(&mut self) {
        for at in 0..self.entries.len() {
            let to = (0..self.entries.len())
                .filter(|&to| to != at)
                .choose(&mut self.rng);
            let words: Vec<_> = self.entries[at].limits.reports(self.now).collect();
            for word in words {
                if let Some(to) = to {
                    self.tell(at, to, &word);
                }
            }
        }
    }

    /// Returns the most arrivals in four seconds that begin after `from`, counted from the
    /// start.
    fn most(&self, from: Duration) -> f64 {
        let late = &self.arrivals[self.arrivals.partition_point(|&at| at < self.start + from)..];
        let within = |(first, &at): (usize, &Instant)| {
            late[first..].partition_point(|&other| other <= at + WINDOW)
        };
        let most = late.iter().enumerate().map(within).max().unwrap_or(0);
        f64::from(u32::try_from(most).expect("some thousands"))
    }

    fn count(&self, from: Duration, to: Duration) -> f64 {
        let within = |&&at: &&Instant| at >= self.start + from && at < self.start + to;
        let count = self.arrivals.iter().filter(within).count();
        f64::from(u32::try_from(count).expect("some thousands"))
    }

    fn all_may_send(&self) -> bool {
        let free = |entry: &Entry| entry.limits.withheld(ENDPOINT).is_none();
        self.entries.iter().all(free)
    }
}

#[test]
fn all_entries_together_stay_within_what_an_endpoint_bears_and_use_what_it_takes() {
    for entries in SIZES {
        for limit in LIMITS {
            let mut run = Run::new(entries, 1);
            run.demand += 5.0 * limit;
            run.pass(40 * SECOND, |_| Some(limit));
            let most = run.most(3 * SECOND);
            assert!(
                most <= borne(limit),
                "{entries} entries, {limit}/s: {most} in 4 s"
            );
            let used = run.count(10 * SECOND, 40 * SECOND) / 30.0;
            let aim = limit.max(0.25);
            assert!(
                used <= aim * 1.01 + 0.1,
                "{entries} entries, {limit}/s: {used}/s"
            );
            assert!(
                used >= aim * 0.7 - 0.1,
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
            let most = run.most(10 * SECOND + Duration::from_millis(500));
            assert!(
                most <= borne(1.0),
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
        let most = run.most(3 * SECOND);
        assert!(most <= borne(3.0), "{entries} entries: {most} in 4 s");
        let used = run.count(10 * SECOND, 40 * SECOND) / 30.0;
        assert!(
            used < 2.0,
            "{entries} entries: {used}/s, where 1.6 are allowed on average"
        );
    }
}

#[test]
fn all_entries_hear_within_six_seconds_that_a_limit_is_over() {
    for entries in SIZES {
        for limit in LIMITS {
            let mut run = Run::new(entries, 3);
            run.pass(20 * SECOND, |_| Some(limit));
            run.pass(6 * SECOND, |_| None);
            assert!(run.all_may_send(), "{entries} entries, {limit}/s");
        }
    }
}

/// Grounds: datagrams within a data centre are lost one in thirty at worst; here half are.
#[test]
fn entries_agree_in_the_end_whatever_words_are_lost() {
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
    run.cut_off = vec![3, 4];
    run.pass(10 * SECOND, |_| None);
    run.cut_off.clear();
    run.pass(10 * SECOND, |_| None);
    assert!(run.all_may_send());
}

/// Grounds: a host that was suspended knows a limit that has fallen meanwhile.
#[test]
fn entries_that_were_asleep_when_a_limit_fell_take_no_more_than_their_parts() {
    let mut run = Run::new(6, 7);
    run.pass(10 * SECOND, |_| Some(5.0));
    run.asleep = vec![1, 2];
    run.pass(10 * SECOND, |_| Some(1.0));
    run.asleep.clear();
    run.pass(20 * SECOND, |_| Some(1.0));
    let most = run.most(11 * SECOND);
    assert!(most <= borne(1.0), "{most} in 4 s");
}

/// Grounds: one entry after the other is restarted, and knows nothing of the limit.
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
    let most = run.most(3 * SECOND);
    assert!(most <= borne(1.0), "{most} in 4 s");
}

/// Grounds: entries are replaced; the new one is on its own list at once and on the others'
/// seconds later.
#[test]
fn entries_whose_lists_differ_stay_within_what_an_endpoint_bears() {
    for entries in [6, 9, 36, 149] {
        for limit in LIMITS {
            let mut run = Run::new(entries, 6);
            // Two are known to themselves alone, and take a third for gone.
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
                    answers: Vec::new(),
                    words: Vec::new(),
                };
                run.entries.push(entry);
            }
            run.pass(40 * SECOND, |_| Some(limit));
            let most = run.most(3 * SECOND);
            assert!(
                most <= borne(limit),
                "{entries} entries, {limit}/s: {most} in 4 s"
            );
        }
    }
}

/// Sends as many requests as may be sent at one moment, after a pause in which none was wanted;
/// returns how many.
fn burst(all: &mut [Limits], limit: f64, now: Instant) -> usize {
    let late = now + 40 * SECOND;
    for limits in &mut *all {
        limits.apply_report(ENDPOINT, Some(rate(limit)), now, now);
    }
    let at_once = |limits: &mut Limits| (0..10).filter(|_| send(limits, late)).count();
    all.iter_mut().map(at_once).sum()
}

#[test]
fn a_pause_saves_nothing_up() {
    let now = clock::now();
    for entries in SIZES {
        for limit in LIMITS {
            let hosts = hosts(entries);
            let new = |host: &String| limits(host, &hosts, now);
            let mut all: Vec<_> = hosts.iter().map(new).collect();
            let burst = burst(&mut all, limit, now);
            let most = f64::from(u32::try_from(burst).expect("some hundreds"));
            assert!(burst <= entries, "{entries} entries, {limit}/s: {burst}");
            assert!(
                most <= borne(limit),
                "{entries} entries, {limit}/s: {burst}"
            );
        }
    }
}

/// Grounds: two entries are new, and the others' lists lack them still.
#[test]
fn entries_that_others_do_not_know_yet_fit_into_what_an_endpoint_bears_at_once() {
    let now = clock::now();
    for entries in SIZES {
        for limit in LIMITS {
            let known = hosts(entries);
            let mut all: Vec<_> = known.iter().map(|host| limits(host, &known, now)).collect();
            for newcomer in ["edge-x", "edge-y"] {
                let mut list = known.clone();
                list.push(newcomer.to_owned());
                all.push(limits(newcomer, &list, now));
            }
            let burst = burst(&mut all, limit, now);
            let most = f64::from(u32::try_from(burst).expect("some hundreds"));
            assert!(
                most <= borne(limit),
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
    let nothing = Headers::default();
    let unreadable = Headers {
        limit: Header::Invalid,
        ..Headers::default()
    };
    limits.apply_headers(ENDPOINT, &names(1.0), true, at(0), at(100));
    // Sent before the limit was heard of; turned away; unreadable.
    assert_eq!(
        limits.apply_headers(ENDPOINT, &nothing, true, at(50), at(200)),
        None
    );
    assert_eq!(
        limits.apply_headers(ENDPOINT, &nothing, false, at(150), at(200)),
        None
    );
    assert_eq!(
        limits.apply_headers(ENDPOINT, &unreadable, true, at(150), at(200)),
        None
    );
    assert_eq!(limits.rate(ENDPOINT), Some(rate(1.0)));
    let change = limits.apply_headers(ENDPOINT, &nothing, true, at(150), at(250));
    assert_eq!(change.map(|change| change.after), Some(None));
    // A word of before is known to be old.
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
    let without = |host: &&String| {
        let part = Allotment::of(host, &hosts, ENDPOINT, rate(1.0));
        part.is_some_and(|part| !part.is_holder)
    };
    let host = hosts.iter().find(without).expect("nine of 149 share it");
    let mut limits = limits(host, &hosts, now);
    limits.apply_report(ENDPOINT, Some(rate(1.0)), now, now);
    assert!(!send(&mut limits, now + 59 * SECOND));
    // A word in between, which changes nothing else.
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
    assert!(limits.limited() < 3_000, "what is remembered is bounded");
}
