//! Real processes: planned stops under load, and a request's spans.

use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use cactusnotch_lab::caller::{Ask, Outcome, key};
use cactusnotch_lab::operator::set;
use cactusnotch_lab::{Caller, Operator, Site, cluster};
use cactusnotch_settings::{Id, Key, Value};
use cactusnotch_standins::engine::{self, Engine};
use serde_json::Value as Json;

const ORGANISATION: &str = "palmetto";
const MODEL: &str = "letters";
const PATIENCE: Duration = Duration::from_mins(1);

/// Long enough that a stop begins while all of them run.
const LONG_ANSWER: usize = 400;

fn site(entries: usize, engines: usize) -> (Site, Operator) {
    let site = Site::start(entries, engines, &engine::Options::default(), 1).unwrap();
    let mut operator = Operator::new(&site.operator_options());
    operator.declare(ORGANISATION, MODEL, engines).unwrap();
    let lifetime = Value::Duration(1_000);
    let edit = vec![set(&Id::root(), Key::AddressLifetime, lifetime)];
    let revision = operator.edit("short lifetime", edit).unwrap();
    for address in site.operators().unwrap() {
        operator
            .wait(address, PATIENCE, |status| {
                status.serving() == engines && status.revision == revision
            })
            .unwrap();
    }
    (site, operator)
}

fn ask(number: usize, tokens: usize) -> Ask {
    Ask {
        organisation: ORGANISATION.to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("letter {number}"),
        max_tokens: tokens,
        key: Some(key()),
        idempotent: Some(false),
        after: None,
    }
}

fn whole(caller: &Caller, address: std::net::SocketAddr, ask: &Ask) {
    match caller.ask(address, ask).unwrap() {
        Outcome::Whole(answer) => assert_eq!(answer.text, ask.expected()),
        other => panic!("{other:?}"),
    }
}

/// The number of the engines' runs that have a slot or wait for one.
fn running(site: &Site) -> usize {
    let open = |run: &engine::Run| run.end == engine::End::Open;
    let runs = site.engines.iter().flat_map(Engine::runs);
    runs.filter(open).count()
}

#[test]
fn a_stopping_entry_withdraws_its_address_and_cuts_nothing_off() {
    const CALLERS: usize = 6;
    let (mut site, operator) = site(2, 2);
    let addresses = site.callers();
    let stopped = addresses[0];
    thread::scope(|scope| {
        for number in 0..CALLERS {
            scope.spawn(move || whole(&Caller::default(), stopped, &ask(number, LONG_ANSWER)));
        }
        while running(&site) < CALLERS {
            thread::yield_now();
        }
        site.entries[0].process.as_ref().unwrap().terminate();
        let caller = Caller::default();
        while caller.addresses(addresses[1]).unwrap().contains(&stopped) {
            thread::yield_now();
        }
        // A caller that still holds the address is served.
        whole(&caller, stopped, &ask(CALLERS, 4));
    });
    let process = site.entries[0].process.as_mut().unwrap();
    assert!(process.wait().unwrap());
    drop(operator);
}

#[test]
fn a_stopping_agent_takes_no_new_work_and_cuts_nothing_off() {
    const CALLERS: usize = 8;
    let (mut site, operator) = site(1, 2);
    let address = site.callers()[0];
    let started = Barrier::new(CALLERS + 1);
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let started = &started;
            scope.spawn(move || {
                started.wait();
                whole(&Caller::default(), address, &ask(number, LONG_ANSWER));
            });
        }
        started.wait();
        while running(&site) < CALLERS {
            thread::yield_now();
        }
        site.agents[0].process.as_ref().unwrap().terminate();
        let leaving = cluster::endpoint(0);
        operator
            .wait(site.operators().unwrap()[0], PATIENCE, |status| {
                let seen = status.endpoints.iter().find(|row| row.endpoint == leaving);
                seen.is_none_or(|row| row.state == "leaving")
            })
            .unwrap();
        let before = site.engines[0].runs().len();
        let caller = Caller::default();
        for number in 0..CALLERS {
            whole(&caller, address, &ask(CALLERS + number, 4));
        }
        assert_eq!(site.engines[0].runs().len(), before);
    });
    let process = site.agents[0].process.as_mut().unwrap();
    assert!(process.wait().unwrap());
}

#[test]
fn the_spans_of_a_request_share_the_callers_trace() {
    let (site, _operator) = site(1, 1);
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = "00f067aa0ba902b7";
    let caller = Caller::default().with_trace(format!("00-{trace}-{parent}-01"));
    whole(&caller, site.callers()[0], &ask(0, 2));
    let entry = spans(&site.entries[0], trace, 1);
    let agent = spans(&site.agents[0], trace, 2);
    let find = |all: &[Json], name: &str| {
        let span = all.iter().find(|span| span["name"] == name);
        span.unwrap_or_else(|| panic!("no span {name}")).clone()
    };
    let entry = find(&entry, "entry");
    let run = find(&agent, "agent");
    let call = find(&agent, "engine");
    assert_eq!(entry["parent_id"], parent);
    assert_eq!(run["parent_id"], entry["span_id"]);
    assert_eq!(call["parent_id"], run["span_id"]);
}

/// Reads a process's log until it has written `count` spans of a trace.
fn spans(place: &cactusnotch_lab::site::Place, trace: &str, count: usize) -> Vec<Json> {
    let log = &place.process.as_ref().unwrap().log;
    let mut found = Vec::new();
    while found.len() < count {
        let line = log.recv_timeout(PATIENCE).expect("the spans are logged");
        let line: Json = serde_json::from_str(&line).unwrap();
        if line["trace_id"] == trace {
            found.push(line);
        }
    }
    found
}
