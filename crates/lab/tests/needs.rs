//! Engines that name a limit, ask for rest, or say that they leave.
//!
//! Seen: of requests to an engine that says in the heads of its answers how many a second it takes,
//! the agent beside it passed on as many as came.
//!
//! How it came about: the agent read from an answer its status and its kind.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_entry::Server;
use cactusnotch_lab::caller::{Ask, Outcome, key};
use cactusnotch_lab::cluster::{Cluster, Options};
use cactusnotch_lab::{Caller, Operator};
use cactusnotch_standins::engine::{Engine, Need};

const ORGANISATION: &str = "arrieta";
const MODEL: &str = "moe";
const PATIENCE: Duration = Duration::from_secs(30);
/// The time over which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn ask(at: &str) -> Ask {
    Ask {
        organisation: ORGANISATION.to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("pattern note {at}"),
        max_tokens: 4,
        key: Some(key()),
        idempotent: None,
        after: None,
    }
}

/// Starts three entries before two engines, and waits until they serve.
async fn start() -> Arc<Cluster> {
    let options = Options {
        entries: 3,
        ..Options::default()
    };
    let cluster = Arc::new(Cluster::start(&options).await.unwrap());
    let own = Arc::clone(&cluster);
    let ready = tokio::task::spawn_blocking(move || {
        let mut operator = Operator::new(&own.platform_options());
        let revision = operator.declare(ORGANISATION, MODEL, 2).unwrap();
        for entry in &own.entries {
            let is_ready = |seen: &cactusnotch_entry::Status| {
                let is_serving = seen.endpoints.iter().all(|seen| seen.state == "serving");
                seen.revision == revision && seen.endpoints.len() == 2 && is_serving
            };
            operator
                .wait(entry.operators(), PATIENCE, is_ready)
                .unwrap();
        }
    });
    ready.await.unwrap();
    cluster
}

/// Sends requests one after the other until `stop` is set; returns what came of them.
fn call_on(entry: SocketAddr, number: usize, stop: &AtomicBool) -> Vec<Outcome> {
    let caller = Caller::default();
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let ask = ask(&format!("{number}-{}", outcomes.len()));
        outcomes.push(caller.ask(entry, &ask).unwrap());
    }
    outcomes
}

/// Has two callers at each entry send requests while `meanwhile` runs.
fn with_callers(cluster: &Cluster, meanwhile: impl FnOnce()) -> Vec<Outcome> {
    let stop = AtomicBool::new(false);
    let entries: Vec<_> = cluster.entries.iter().map(Server::callers).collect();
    thread::scope(|scope| {
        let start = |number: usize| {
            let (entry, stop) = (entries[number / 2], &stop);
            scope.spawn(move || call_on(entry, number, stop))
        };
        let callers: Vec<_> = (0..2 * entries.len()).map(start).collect();
        meanwhile();
        stop.store(true, Ordering::Relaxed);
        let outcomes = callers.into_iter().map(thread::ScopedJoinHandle::join);
        outcomes.flat_map(|outcomes| outcomes.unwrap()).collect()
    })
}

/// Returns the most calls in a window that begins at `from` or later.
fn most_calls(engine: &Engine, from: Instant) -> usize {
    let calls = engine.calls();
    let late = &calls[calls.partition_point(|&at| at < from)..];
    let within = |(first, &at): (usize, &Instant)| {
        late[first..].partition_point(|&other| other <= at + WINDOW)
    };
    late.iter().enumerate().map(within).max().unwrap_or(0)
}

fn whole(outcomes: &[Outcome]) -> usize {
    let is_whole = |outcome: &&Outcome| matches!(outcome, Outcome::Whole(_));
    outcomes.iter().filter(is_whole).count()
}

/// Runs a check beside a cluster.
async fn check(check: impl FnOnce(&Cluster) + Send + 'static) {
    let cluster = start().await;
    let done = tokio::task::spawn_blocking(move || check(&cluster));
    done.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_names_a_limit_gets_no_more() {
    check(|cluster| {
        let limited = &cluster.engines[0];
        limited.need(Need {
            limit: Some(2.0),
            ..Need::default()
        });
        let named = clock::now();
        let outcomes = with_callers(cluster, || thread::sleep(2 * WINDOW));
        let most = most_calls(limited, named + Duration::from_secs(1));
        // Half more than the limit allows, and five.
        assert!(most <= 17, "{most} calls in {WINDOW:?}");
        assert!(most >= 4, "{most} calls in {WINDOW:?}: it takes eight");
        let (whole, all) = (whole(&outcomes), outcomes.len());
        assert!(
            whole * 10 > all * 9,
            "{whole} of {all}: the other one has room"
        );
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_asks_for_rest_gets_it() {
    check(|cluster| {
        let tired = &cluster.engines[0];
        let rest = Duration::from_secs(3);
        tired.need(Need {
            rest: Some(rest),
            ..Need::default()
        });
        let outcomes = with_callers(cluster, || thread::sleep(3 * rest));
        let calls = tired.calls();
        let in_rest = |&asked: &Instant| {
            let within = asked + Duration::from_millis(500)..asked + rest;
            calls.iter().filter(|at| within.contains(at)).count()
        };
        let most = calls.iter().map(in_rest).max().unwrap_or(0);
        assert!(
            !calls.is_empty() && most <= 2,
            "{most} calls within {rest:?}"
        );
        let (whole, all) = (whole(&outcomes), outcomes.len());
        assert!(
            whole * 10 > all * 9,
            "{whole} of {all}: the other one has room"
        );
        // What it takes again it gets.
        tired.need(Need::default());
        let before = tired.runs().len();
        with_callers(cluster, || thread::sleep(2 * rest));
        assert!(tired.runs().len() > before + 10);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_that_it_leaves_gets_nothing_more() {
    check(|cluster| {
        let leaving = &cluster.engines[0];
        leaving.need(Need {
            leaving: true,
            ..Need::default()
        });
        let begun = clock::now();
        let outcomes = with_callers(cluster, || thread::sleep(Duration::from_secs(5)));
        let calls = leaving.calls();
        let told = calls.iter().find(|at| **at >= begun).expect("it was met");
        let late = calls
            .iter()
            .filter(|at| **at > *told + Duration::from_secs(2));
        assert_eq!(late.count(), 0, "calls two seconds after it had said so");
        let (whole, all) = (whole(&outcomes), outcomes.len());
        assert!(
            whole * 10 > all * 9,
            "{whole} of {all}: the other one has room"
        );
    })
    .await;
}
