//! Bad requests at an entry's callers' port: each is refused as a problem
//! document, starts nothing, and harms no request beside it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use cactusnotch_entry::Server;
use cactusnotch_lab::caller::{Ask, Outcome, key};
use cactusnotch_lab::cluster::{Cluster, Options, service_endpoint};
use cactusnotch_lab::operator::{create, set};
use cactusnotch_lab::{Caller, Operator};
use cactusnotch_settings::{Id, Key, Kind, Route, Value};
use cactusnotch_standins::engine::Engine;
use cactusnotch_standins::objects::{Calls, Outage};
use cactusnotch_standins::service;
use serde_json::Value as Json;

const MODEL: &str = "moe";
const ORGANISATION: &str = "arrieta";
const OTHER: &str = "palmetto";
const COMPLETIONS: &str = "/v1/chat/completions";
const BODY: &str = r#"{"model":"moe","messages":[{"role":"user","content":"a"}],"stream":true}"#;
const BODY_LIMIT: usize = 1 << 20;
const PATIENCE: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

/// What a caller got, as it stood on the wire.
#[derive(Debug)]
struct Reply {
    status: u16,
    head: String,
    body: String,
}

impl Reply {
    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let (_, value) = lines.find(|(own, _)| own.eq_ignore_ascii_case(name))?;
        Some(value.trim())
    }

    /// Checks that it is a whole problem document with this content.
    fn check(&self, case: &str, status: u16, kind: &str, outcome: &str) {
        let body: Json = serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("{case}: {error} in {self:?}"));
        assert_eq!(self.status, status, "{case}: {self:?}");
        assert_eq!(body["status"], status, "{case}");
        assert_eq!(
            body["type"],
            format!("urn:cactusnotch:problem:{kind}"),
            "{case}"
        );
        assert!(
            body["title"].is_string() && body["detail"].is_string(),
            "{case}"
        );
        assert_eq!(body["outcome"], outcome, "{case}");
        assert_eq!(self.header("cactusnotch-outcome"), Some(outcome), "{case}");
        let media = self.header("content-type");
        assert_eq!(media, Some("application/problem+json"), "{case}");
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn read(mut stream: TcpStream) -> Reply {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Reply {
        status: status.unwrap_or_default(),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// Sends a request with these headers, each with its line end.
fn post(address: SocketAddr, path: &str, headers: &[u8], body: &str) -> Reply {
    let mut stream = connect(address);
    let length = body.len();
    let line = format!("POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
    stream.write_all(line.as_bytes()).unwrap();
    stream.write_all(headers).unwrap();
    let rest = format!("content-length: {length}\r\n\r\n{body}");
    stream.write_all(rest.as_bytes()).unwrap();
    read(stream)
}

fn headers(organisation: &str, more: &str) -> Vec<u8> {
    format!("openai-organization: {organisation}\r\n{more}").into_bytes()
}

fn keyed(organisation: &str, key: &str) -> Vec<u8> {
    let more = format!("idempotency-key: {key}\r\ncactusnotch-idempotent: false\r\n");
    headers(organisation, &more)
}

fn ask(prompt: &str) -> Ask {
    Ask {
        organisation: ORGANISATION.to_owned(),
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 12,
        key: Some(key()),
        idempotent: Some(false),
        after: None,
    }
}

fn whole(address: SocketAddr, ask: &Ask) {
    match Caller::default().ask(address, ask).unwrap() {
        Outcome::Whole(got) => assert_eq!(got.text, ask.expected()),
        other => panic!("no whole answer: {other:?}"),
    }
}

/// Starts a system that serves and returns the callers' addresses.
async fn start() -> (Cluster, Vec<SocketAddr>) {
    let options = Options {
        head_timeout: SHORT,
        receive_timeout: SHORT,
        ..Options::default()
    };
    let mut cluster = Cluster::start(&options).await.unwrap();
    let service = service::Options::default();
    for _ in 0..2 {
        cluster.add_service(&service).await.unwrap();
    }
    let platform = cluster.platform_options();
    let operators: Vec<_> = cluster.entries.iter().map(Server::operators).collect();
    let settled = tokio::task::spawn_blocking(move || {
        let mut operator = Operator::new(&platform);
        operator.declare(ORGANISATION, MODEL, 2).unwrap();
        let other = Id::new(OTHER);
        let own = Id::new(ORGANISATION);
        let route = |prefix: &str, endpoints: usize| Route {
            prefix: prefix.to_owned(),
            endpoints: (0..endpoints)
                .map(|n| service_endpoint(n).to_string())
                .collect(),
            repeatable: endpoints > 1,
        };
        let routes = vec![route("/shop", 1), route("/copy/echo", 2)];
        let operations = vec![
            create(other, Kind::Organisation, OTHER),
            set(&own, Key::Routes, Value::Routes(routes)),
        ];
        let revision = operator.edit("declare routes", operations).unwrap();
        for address in operators {
            operator
                .wait(address, PATIENCE, |status| {
                    status.revision == revision && status.serving() == 4
                })
                .unwrap();
        }
    });
    settled.await.unwrap();
    let callers = cluster.entries.iter().map(Server::callers).collect();
    (cluster, callers)
}

fn started(cluster: &Cluster) -> usize {
    let runs = cluster.engines.iter().flat_map(Engine::runs);
    runs.filter(|run| run.started).count()
}

/// Requests whose heads or bodies are wrong in themselves.
fn malformed(at: SocketAddr) {
    let good = headers(ORGANISATION, "");
    let more = |text: &str| headers(ORGANISATION, text);
    let long = " ".repeat(BODY_LIMIT + 1);
    let mut bytes = headers(ORGANISATION, "");
    bytes.extend_from_slice(b"idempotency-key: \xe9\xff\r\n");
    let unknown = BODY.replace("moe", "none");
    let cases: [(&str, &[u8], &str, u16, &str); 10] = [
        ("oversized body", &good, &long, 413, "too-large"),
        ("malformed JSON", &good, "{\"model\":", 400, "malformed"),
        ("no model", &good, "{}", 400, "malformed"),
        ("no organisation", b"", BODY, 400, "malformed"),
        (
            "unknown organisation",
            &headers("nobody", ""),
            BODY,
            403,
            "unknown-organisation",
        ),
        ("unknown model", &good, &unknown, 404, "not-found"),
        (
            "idempotent: maybe",
            &more("cactusnotch-idempotent: maybe\r\n"),
            BODY,
            400,
            "malformed",
        ),
        (
            "last event: x",
            &more("last-event-id: x\r\n"),
            BODY,
            400,
            "malformed",
        ),
        (
            "last event: -1",
            &more("last-event-id: -1\r\n"),
            BODY,
            400,
            "malformed",
        ),
        ("non-ASCII header", &bytes, BODY, 400, "malformed"),
    ];
    for (case, headers, body, status, kind) in cases {
        post(at, COMPLETIONS, headers, body).check(case, status, kind, "not-run");
    }
    let absent = post(at, "/nothing/here", &good, BODY);
    absent.check("unknown path", 404, "not-found", "not-run");
    let foreign = post(at, "/shop/orders", &headers(OTHER, ""), "{}");
    foreign.check("another's route", 404, "not-found", "not-run");
}

/// Requests that do not come whole, or not in time.
fn unfinished(at: SocketAddr) {
    let head =
        format!("POST {COMPLETIONS} HTTP/1.1\r\nhost: a\r\nopenai-organization: arrieta\r\n");
    let half = format!("{head}content-length: 500\r\n\r\n{BODY}");
    let mut slow = connect(at);
    slow.write_all(half.as_bytes()).unwrap();
    read(slow).check("slow body", 408, "too-slow", "not-run");
    let mut cut = connect(at);
    cut.write_all(half.as_bytes()).unwrap();
    cut.shutdown(Shutdown::Write).unwrap();
    read(cut).check("truncated body", 400, "malformed", "not-run");
    // No request came, so the connection ends without a word.
    let mut slow = connect(at);
    slow.write_all(head.as_bytes()).unwrap();
    let reply = read(slow);
    assert!(!reply.head.contains(" 200 "), "slow head: {reply:?}");
}

/// Requests whose keys cannot be used.
fn refused_keys(at: SocketAddr) {
    let caller = Caller::default();
    let ticket = caller.ticket(at, &ask("")).unwrap();
    let (payload, _) = ticket.rsplit_once('.').unwrap();
    let forged = format!("{payload}.{}", "A".repeat(43));
    let cases = [
        ("forged ticket", ORGANISATION, forged.as_str(), "not-run"),
        ("foreign ticket", OTHER, ticket.as_str(), "not-run"),
        ("bare key", ORGANISATION, "order-17", "not-run"),
        (
            "old key",
            ORGANISATION,
            "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
            "unknown",
        ),
    ];
    for (case, organisation, key, outcome) in cases {
        let reply = post(at, COMPLETIONS, &keyed(organisation, key), BODY);
        reply.check(case, 422, "key-refused", outcome);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_and_start_nothing() {
    let (cluster, callers) = start().await;
    let stop = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let at = callers[0];
    tokio::task::block_in_place(|| {
        std::thread::scope(|scope| {
            let beside = scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let number = served.load(Ordering::Relaxed);
                    whole(at, &ask(&format!("note {number}")));
                    served.fetch_add(1, Ordering::Relaxed);
                }
            });
            let bad = scope.spawn(|| {
                malformed(at);
                unfinished(at);
                refused_keys(at);
            });
            let bad = bad.join();
            stop.store(true, Ordering::Relaxed);
            beside.join().unwrap();
            bad.unwrap();
        });
    });
    let served = served.into_inner();
    assert!(served > 0);
    assert_eq!(started(&cluster), served);
    assert_eq!(cluster.services[0].runs(), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_names_one_payload() {
    let (cluster, callers) = start().await;
    tokio::task::block_in_place(|| {
        for ticket in [false, true] {
            let mut first = ask("one payload");
            if ticket {
                first.key = Some(Caller::default().ticket(callers[0], &first).unwrap());
            }
            whole(callers[0], &first);
            let name = first.key.clone().unwrap();
            for at in &callers {
                let reply = post(*at, COMPLETIONS, &keyed(ORGANISATION, &name), BODY);
                reply.check("key reused", 422, "key-reused", "not-run");
            }
            // The same payload brings the same answer again.
            whole(callers[1], &first);
            let starts = cluster.engines.iter().map(|engine| engine.starts(&name));
            assert_eq!(starts.sum::<usize>(), 1);
        }
    });
}

/// Returns the calls about claims, of which tickets are to need none.
fn claims(calls: &Calls) -> u64 {
    let rows = calls.iter();
    let claims = rows.filter(|((_, kind), _)| kind.starts_with("claim"));
    claims.map(|(_, count)| *count).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_need_no_platform() {
    let (cluster, callers) = start().await;
    tokio::task::block_in_place(|| {
        let run = |prompt: &str| {
            let mut ask = ask(prompt);
            ask.key = Some(Caller::default().ticket(callers[0], &ask).unwrap());
            whole(callers[0], &ask);
            whole(callers[1], &ask);
        };
        // A key of the caller's own needs the platform, which shows that the
        // counter counts.
        whole(callers[0], &ask("claimed"));
        let before = claims(&cluster.platform.calls());
        assert!(before > 0);
        for number in 0..4 {
            run(&format!("up {number}"));
        }
        cluster.platform.set_outage(Outage::Refuse);
        run("down");
        assert_eq!(claims(&cluster.platform.calls()), before);
    });
    assert_eq!(started(&cluster), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_plain_service_runs_once_for_its_key() {
    let (cluster, callers) = start().await;
    let service = &cluster.services[0];
    tokio::task::block_in_place(|| {
        let name = key();
        let more = format!("idempotency-key: {name}\r\n");
        let with_key = headers(ORGANISATION, &more);
        for at in [callers[0], callers[1], callers[0]] {
            let reply = post(at, "/shop/orders?count=1", &with_key, "{}");
            assert_eq!(reply.status, 200, "{reply:?}");
            assert!(reply.body.contains(r#"{"order":1}"#), "{reply:?}");
        }
        assert_eq!((service.starts(&name), service.orders()), (1, 1));
        // A lost reply is not made good by a second order, ...
        service.lose_replies(1);
        let lost = post(callers[0], "/shop/orders", &headers(ORGANISATION, ""), "{}");
        lost.check("lost reply", 502, "broken", "unknown");
        assert_eq!(service.orders(), 2);
        // ... but a call that may be repeated is, at another endpoint.
        let more = headers(ORGANISATION, "content-type: text/plain\r\n");
        let copy = || {
            let copied = post(callers[0], "/copy/echo?a=1", &more, "hello");
            assert_eq!(copied.status, 200, "{copied:?}");
            assert!(copied.body.contains("hello"), "{copied:?}");
        };
        let echoes = |service: &service::Service| {
            let runs = service.runs();
            runs.iter().filter(|run| run.path == "/copy/echo").count()
        };
        copy();
        let taker = cluster.services.iter().find(|own| echoes(own) > 0);
        let taker = taker.unwrap();
        taker.lose_replies(1);
        copy();
        let total: usize = cluster.services.iter().map(echoes).sum();
        assert_eq!(total, 3, "the lost call ran again");
    });
}
