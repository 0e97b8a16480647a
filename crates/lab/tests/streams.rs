//! Streams through real processes behind proxies that delay, reorder and cut:
//! each caller gets its own answer, whole or visibly not.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_entry::Status;
use cactusnotch_lab::caller::{Answer, Ask, Outcome, key};
use cactusnotch_lab::load::Streamer;
use cactusnotch_lab::{Operator, Site};
use cactusnotch_standins::engine::{self, End, Run};
use cactusnotch_standins::proxy::{Direction, Line};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{interval, timeout};

const MODEL: &str = "letters";
const ORGANISATION: &str = "palmetto";
const PATIENCE: Duration = Duration::from_mins(1);
const GLANCE: Duration = Duration::from_millis(20);
const SEED: u64 = 5;

fn ask(number: usize, tokens: usize) -> Ask {
    Ask {
        organisation: ORGANISATION.to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("dispute reply {number}"),
        max_tokens: tokens,
        key: Some(key()),
        idempotent: Some(false),
        after: None,
    }
}

/// Starts a system and waits until its entries serve.
fn start(entries: usize, engines: usize, slots: usize) -> Site {
    let engine = engine::Options {
        slots,
        queue: 1024,
        ..engine::Options::default()
    };
    let site = Site::start(entries, engines, &engine, SEED).unwrap();
    let mut operator = Operator::new(&site.operator_options());
    let revision = operator.declare(ORGANISATION, MODEL, engines).unwrap();
    for address in site.operators().unwrap() {
        let is_ready = |status: &Status| {
            let is_serving = status.standing == "serving" && status.serving() == engines;
            is_serving && status.revision >= revision
        };
        operator.wait(address, PATIENCE, is_ready).unwrap();
    }
    site
}

fn slow(delay: u64, jitter: u64) -> Line {
    Line {
        delay: Duration::from_millis(delay),
        jitter: Duration::from_millis(jitter),
        ..Line::default()
    }
}

/// Asks for all answers at once, each at the next of `addresses`.
async fn all(addresses: &[SocketAddr], asks: Vec<Ask>) -> Vec<(Ask, Outcome)> {
    let streamer = Streamer::default();
    let mut streams = JoinSet::new();
    for (number, ask) in asks.into_iter().enumerate() {
        let (streamer, address) = (streamer.clone(), addresses[number % addresses.len()]);
        streams.spawn(async move {
            let now = clock::now();
            let outcome = streamer.ask(address, &ask, now, now + PATIENCE).await;
            (ask, outcome.unwrap())
        });
    }
    streams.join_all().await
}

fn whole(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Whole(answer) if !answer.misnumbered => answer,
        other => panic!("no whole answer: {other:?}"),
    }
}

/// Checks that an answer that broke off is a part of the right one and says
/// that it is not whole.
fn broken(ask: &Ask, outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Broken(answer)
            if answer.is_severed
                && !answer.misnumbered
                && ask.expected().starts_with(&answer.text) =>
        {
            answer
        }
        other => panic!("not visibly broken: {other:?}"),
    }
}

fn runs(site: &Site) -> Vec<Run> {
    let runs = site.engines.iter().flat_map(engine::Engine::runs);
    runs.filter(|run| run.started).collect()
}

/// Waits until the system is as wanted.
async fn wait(site: &Site, wanted: impl Fn(&Site) -> bool) {
    let waiting = async {
        let mut glances = interval(GLANCE);
        while !wanted(site) {
            glances.tick().await;
        }
    };
    timeout(PATIENCE, waiting).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_streams_at_once_stay_apart() {
    let site = start(3, 4, 256);
    for agent in &site.agents {
        agent.peers.set_line(Direction::Up, slow(2, 10));
        agent.peers.set_line(Direction::Down, slow(2, 30));
    }
    for entry in &site.entries {
        let callers = entry.callers.as_ref().unwrap();
        callers.set_spread(Duration::from_millis(40));
        callers.set_line(Direction::Down, slow(0, 10));
    }
    let asks = (0..1000).map(|number| Ask {
        key: (number % 2 == 0).then(key),
        ..ask(number, 30 + number % 17)
    });
    let (addresses, asks) = (site.callers(), asks.collect());
    let streams = tokio::spawn(async move { all(&addresses, asks).await });
    wait(&site, |site| runs(site).len() == 1000).await;
    site.agents[0].peers.cut();
    for (ask, outcome) in streams.await.unwrap() {
        assert_eq!(whole(outcome).text, ask.expected());
    }
    assert_eq!(runs(&site).len(), 1000);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_resumes_at_another_entry_with_each_piece_once() {
    let site = start(2, 2, 32);
    let callers = site.entries[0].callers.as_ref().unwrap();
    let cut = Line {
        cut_at: Some(4_000),
        ..Line::default()
    };
    callers.set_line(Direction::Down, cut);
    // Questions to an agent are sent again before the answers come.
    for agent in &site.agents {
        agent.peers.set_line(Direction::Down, slow(400, 0));
    }
    let addresses = site.callers();
    let asks = (0..40).map(|number| ask(number, 300)).collect();
    let first = all(&addresses[..1], asks).await;
    let mut texts = Vec::new();
    let mut rest = Vec::new();
    for (ask, outcome) in first {
        let answer = broken(&ask, outcome);
        assert!(answer.last_event > 0);
        texts.push((ask.key.clone(), answer.text));
        rest.push(Ask {
            after: Some(answer.last_event),
            ..ask
        });
    }
    for (ask, outcome) in all(&addresses[1..], rest).await {
        let (_, begin) = texts.iter().find(|(key, _)| *key == ask.key).unwrap();
        assert_eq!(format!("{begin}{}", whole(outcome).text), ask.expected());
    }
    assert_eq!(runs(&site).len(), 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_an_agent_that_dies_never_look_whole() {
    let mut site = start(1, 1, 32);
    let addresses = site.callers();
    let asks = (0..32).map(|number| ask(number, 100_000)).collect();
    let streams = tokio::spawn(async move { all(&addresses, asks).await });
    let under_way = |site: &Site| {
        let runs = runs(site);
        runs.len() == 32 && runs.iter().all(|run| run.tokens > 4)
    };
    wait(&site, under_way).await;
    site.agents[0].kill();
    for (ask, outcome) in streams.await.unwrap() {
        let answer = broken(&ask, outcome);
        assert_eq!(answer.stated.as_deref(), Some("unknown"));
    }
}

/// Guards against pieces that no run made: an agent numbered whatever ended in an empty line and
/// passed it on.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_of_an_engine_that_are_no_event_break_the_answer_off() {
    let site = start(1, 1, 32);
    for bytes in [
        "garbage\n\n",
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "event: token\n\n",
        "garbage",
    ] {
        let asks = (0..4).map(|number| ask(number, 2_000)).collect();
        let addresses = site.callers();
        let before = runs(&site).len();
        let streams = tokio::spawn(async move { all(&addresses, asks).await });
        let under_way = |site: &Site| {
            let runs = runs(site);
            runs.len() == before + 4 && runs[before..].iter().all(|run| run.tokens > 4)
        };
        wait(&site, under_way).await;
        site.engines[0].spoil(Some(bytes));
        for (ask, outcome) in streams.await.unwrap() {
            let answer = broken(&ask, outcome);
            assert_eq!(answer.stated.as_deref(), Some("unknown"), "{bytes:?}");
        }
        site.engines[0].spoil(None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_its_slot() {
    let site = start(1, 1, 2);
    let addresses = site.callers();
    let endless = |number| {
        let ask = Ask {
            key: None,
            ..ask(number, 1_000_000)
        };
        let addresses = addresses.clone();
        tokio::spawn(async move { all(&addresses, vec![ask]).await })
    };
    let running = [endless(0), endless(1)];
    wait(&site, |site| site.engines[0].load().running == 2).await;
    let queued = endless(2);
    wait(&site, |site| site.engines[0].load().waiting == 1).await;
    queued.abort();
    wait(&site, |site| site.engines[0].load().waiting == 0).await;
    running.iter().for_each(JoinHandle::abort);
    let next = ask(3, 8);
    let outcome = all(&addresses, vec![next.clone()]).await.remove(0).1;
    assert_eq!(whole(outcome).text, next.expected());
    let runs = site.engines[0].runs();
    let ends: Vec<(bool, End)> = runs.iter().map(|run| (run.started, run.end)).collect();
    let gone = (true, End::Cancelled);
    let expected = [gone, gone, (false, End::Cancelled), (true, End::Completed)];
    assert_eq!(ends, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_cannot_be_found_again_is_not_resumed() {
    let site = start(1, 1, 4);
    let late = Ask {
        after: Some(4),
        ..ask(0, 8)
    };
    let unkeyed = Ask {
        key: None,
        ..late.clone()
    };
    let idempotent = Ask {
        idempotent: Some(true),
        ..late
    };
    for (_, outcome) in all(&site.callers(), vec![unkeyed, idempotent]).await {
        let Outcome::Refused { outcome, .. } = outcome else {
            panic!("pieces of another run: {outcome:?}");
        };
        assert_eq!(outcome, "not-run");
    }
    assert_eq!(runs(&site), Vec::new());
}
