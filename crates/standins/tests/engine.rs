//! The engine through HTTP, as an agent meets it.

mod wait;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use cactusnotch_standins::engine::{self, End, Engine, Fencing, Load, Options};
use serde_json::{Value, json};
use wait::{LONG, until};

/// A request that is sent by hand, so that it can be broken off anywhere.
fn send(engine: &Engine, headers: &str, body: &Value) -> BufReader<TcpStream> {
    let body = body.to_string();
    let mut stream = TcpStream::connect(engine.address()).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    BufReader::new(stream)
}

fn completion(prompt: &str, max_tokens: usize) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": true})
}

fn wait_for(engine: &Engine, reached: impl Fn(Load) -> bool) {
    until(|| reached(engine.load()));
}

fn url(engine: &Engine, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

fn post(engine: &Engine, path: &str, body: &Value) -> ureq::http::Response<ureq::Body> {
    ureq::post(url(engine, path))
        .header("request-id", "r1")
        .header("idempotency-key", "k1")
        .config()
        .http_status_as_error(false)
        .build()
        .send_json(body)
        .unwrap()
}

fn get(engine: &Engine, path: &str) -> Value {
    let mut response = ureq::get(url(engine, path)).call().unwrap();
    response.body_mut().read_json().unwrap()
}

#[test]
fn streamed_and_whole_answers_equal_the_computed_one() {
    let engine = Engine::start(&Options::default()).unwrap();
    let messages = vec![engine::Message {
        role: "user".into(),
        content: "the dye lot of Maite".into(),
    }];
    let expected = engine::answer("m", &engine::prompt(&messages), 9);
    let mut body = json!({"model": "m", "messages": messages, "max_tokens": 9, "stream": true});
    let mut streamed = String::new();
    let text = post(&engine, "/v1/chat/completions", &body)
        .body_mut()
        .read_to_string()
        .unwrap();
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    assert_eq!((events.len(), events[10]), (11, "data: [DONE]"));
    for event in &events[..10] {
        let event: Value = serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap();
        assert_eq!(event["id"], "r1");
        let content = &event["choices"][0]["delta"]["content"];
        streamed.push_str(content.as_str().unwrap_or(""));
    }
    assert_eq!(streamed, expected);
    body["stream"] = json!(false);
    let mut response = post(&engine, "/v1/chat/completions", &body);
    let whole: Value = response.body_mut().read_json().unwrap();
    assert_eq!(whole["choices"][0]["message"]["content"], expected);
    assert_eq!(engine.starts("k1"), 2);
    assert!(
        engine
            .runs()
            .iter()
            .all(|run| run.end == End::Completed && run.tokens == 9)
    );
}

#[test]
fn a_caller_that_goes_away_frees_its_slot() {
    let options = Options {
        slots: 1,
        ..Options::default()
    };
    let engine = Engine::start(&options).unwrap();
    let mut first = send(&engine, "request-id: gone\r\n", &completion("a", 1_000_000));
    let mut line = String::new();
    while !line.starts_with("data: ") {
        line.clear();
        first.read_line(&mut line).unwrap();
    }
    let mut second = send(&engine, "connection: close\r\n", &completion("b", 2));
    wait_for(&engine, |load| load.waiting == 1);
    drop(first);
    let mut answer = String::new();
    second.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("[DONE]"));
    let runs = engine.runs();
    assert_eq!((runs[0].end, runs[1].end), (End::Cancelled, End::Completed));
    assert!(runs[0].tokens > 0);
}

#[test]
fn the_queue_is_ordered_by_priority_and_bounded() {
    let options = Options {
        slots: 1,
        queue: 3,
        ..Options::default()
    };
    let engine = Engine::start(&options).unwrap();
    let running = send(&engine, "", &completion("first", 1_000_000));
    wait_for(&engine, |load| load.running == 1);
    let mut waiting = Vec::new();
    for (at, priority) in [5, 1, 3].into_iter().enumerate() {
        let headers = format!("priority: {priority}\r\nrequest-id: p{priority}\r\n");
        waiting.push(send(&engine, &headers, &completion("x", 1_000_000)));
        wait_for(&engine, |load| load.waiting == at + 1);
    }
    assert_eq!(
        post(&engine, "/v1/completions", &completion("x", 1)).status(),
        429
    );
    drop(running);
    let mut order = Vec::new();
    for at in [1, 2, 0] {
        wait_for(&engine, |load| load.waiting == 2 - order.len());
        let started = |run: &engine::Run| run.started && run.end == End::Open;
        order.extend(
            engine
                .runs()
                .into_iter()
                .filter(started)
                .map(|run| run.request),
        );
        drop(waiting[at].get_ref().shutdown(std::net::Shutdown::Both));
    }
    assert_eq!(order, ["p1", "p3", "p5"]);
    assert_eq!(engine.runs().len(), 4, "a refused request leaves no run");
}

#[test]
fn the_cache_is_bounded_and_tells_events_with_gaps() {
    let options = Options {
        cache_tokens: 4 * engine::BLOCK,
        event_lag: Duration::ZERO,
        load_lag: Duration::ZERO,
        event_loss: 0.3,
        seed: 7,
        ..Options::default()
    };
    let engine = Engine::start(&options).unwrap();
    for prompt in ["a ", "b ", "c "] {
        let body =
            json!({"model": "m", "prompt": prompt.repeat(3 * engine::BLOCK), "max_tokens": 1});
        assert_eq!(post(&engine, "/v1/completions", &body).status(), 200);
    }
    assert_eq!(get(&engine, "/load")["cache_tokens"], 4 * engine::BLOCK);
    let events: Vec<engine::Event> =
        serde_json::from_value(get(&engine, "/events?after=0")).unwrap();
    let last = events.last().unwrap().sequence;
    assert!((events.len() as u64) < last.0, "some are lost: {events:?}");
    assert!(
        events
            .iter()
            .any(|event| event.change == engine::Change::Removed)
    );
    assert_eq!(get(&engine, &format!("/events?after={last}")), json!([]));
}

#[test]
fn fencing_is_checked_or_ignored() {
    let cases = [
        (Fencing::Checked, 409, "prefill"),
        (Fencing::Ignored, 200, "decode"),
    ];
    for (fencing, status, role) in cases {
        let options = Options {
            fencing,
            ..Options::default()
        };
        let engine = Engine::start(&options).unwrap();
        let new = json!({"fence": 4, "order": {"role": "prefill"}});
        assert_eq!(post(&engine, "/orders", &new).status(), 200);
        let old = json!({"fence": 3, "order": {"role": "decode"}});
        assert_eq!(post(&engine, "/orders", &old).status(), status);
        assert_eq!(get(&engine, "/orders")["state"]["role"], role);
    }
}

#[test]
fn a_model_serves_once_its_version_is_loaded() {
    let options = Options {
        strict_models: true,
        load_time: Duration::ZERO,
        broken: vec!["v2".to_owned()],
        ..Options::default()
    };
    let engine = Engine::start(&options).unwrap();
    let body = completion("x", 1);
    assert_eq!(post(&engine, "/v1/completions", &body).status(), 404);
    let order = |version: &str| json!({"fence": 1, "order": {"version": {"model": "m", "version": version}}});
    for version in ["v1", "v1", "v2"] {
        assert_eq!(post(&engine, "/orders", &order(version)).status(), 200);
    }
    let state = engine.served().state;
    assert_eq!(state.versions, [("m".into(), "v1".to_owned())]);
    assert_eq!((state.failed.len(), state.underway.len()), (1, 0));
    assert_eq!(post(&engine, "/v1/completions", &body).status(), 200);
}

#[test]
fn a_frozen_engine_keeps_connections_and_goes_on() {
    let engine = Engine::start(&Options::default()).unwrap();
    engine.freeze();
    let mut frozen = send(&engine, "connection: close\r\n", &completion("a", 3));
    let load = ureq::get(url(&engine, "/load"))
        .config()
        .timeout_global(Some(Duration::from_millis(100)))
        .build()
        .call();
    assert!(matches!(load, Err(ureq::Error::Timeout(_))), "{load:?}");
    assert!(engine.runs().is_empty());
    engine.slow(0.5);
    engine.thaw();
    let mut answer = String::new();
    frozen.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("[DONE]"));
}
