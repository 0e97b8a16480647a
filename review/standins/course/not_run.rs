//! A request that may not be repeated is refused as not run after it has run.
//!
//! Six application servers answer a `non_idempotent` route. In each episode a client sends one
//! request. The server that runs it answers in full, inside the route's time, and goes dark with
//! the end of its answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{HOST, KEY, Outcome, configuration, service};
use crate::entry::{self, Entry};
use crate::http::{self, End};
use crate::record::Record;
use crate::server::{self, Plain};
use crate::store::Store;

const SERVICE: &str = "mostrador-app";
const SERVERS: u16 = 6;
const EPISODES: u32 = 5;
/// How long a request waits in the queue of its server, which has six slots and a queue of 24.
const QUEUED: Duration = Duration::from_millis(200);
/// The time that it then runs; the longest of the site is 450 ms.
const WORK: Duration = Duration::from_millis(400);
const TIMEOUT_MS: u64 = 800;
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long a server stays dark.
const DARK: Duration = Duration::from_millis(4_000);
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let ip = entry::free_address().ok_or("no free loopback address")?;
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::start(SocketAddr::from((ip, entry::STORE))).map_err(failed)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let address = SocketAddr::from((ip, entry::SERVERS + number));
        let server = Plain::start(address, &format!("i-{number}"), QUEUED, WORK, record);
        let server = server.map_err(failed)?;
        let zone = entry::ARRIETA.zone(number);
        store.put(
            "servers",
            &server.id,
            &server::registration(SERVICE, address, zone, 6, server::now_ms()),
        );
        servers.push(server);
    }
    let route = format!(
        "{{\"Name\":\"r-ficha\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/ficha/\",\"Type\":\"non_idempotent\",\"TimeoutMs\":{TIMEOUT_MS},\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"{SERVICE}\",\"MaxAttempts\":1,\"Anonymous\":false,\"SessionAffinity\":false,\"Resumable\":false}}"
    );
    store.put(
        "config",
        "main",
        &configuration(&[route], &[service(SERVICE, 96)]),
    );
    let entry = Entry::start(ip, &entry::ARRIETA)?;
    // The other entries' lists and the first listing of entries settle.
    std::thread::sleep(Duration::from_secs(2));
    let mut broken = false;
    for episode in 1..=EPISODES {
        broken |= play(record, trouble, &entry, &servers, episode);
    }
    for line in entry.log_lines("request ended") {
        record.note(&format!("entry: {line}"));
    }
    Ok(broken)
}

/// Plays one episode; returns whether the rule was broken.
fn play(record: &Record, trouble: bool, entry: &Entry, servers: &[Plain], episode: u32) -> bool {
    if trouble {
        servers.iter().for_each(Plain::go_dark_after_next);
    }
    let mut broken = false;
    let begun = Instant::now();
    // A client comes back once, and only after a promise.
    for attempt in 1..=2 {
        let id = format!("order-{episode}-attempt-{attempt}");
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let (status, wait) = ask(record, entry, &id, episode, left);
        let ran = has_run(servers, &id);
        if ran && PROMISES.contains(&status) {
            record.note(&format!("{id} was answered {status} and has run"));
            broken = true;
        }
        // Only the first answer is followed by darkness.
        for server in servers.iter().filter(|_| attempt == 1) {
            server.cancel_darkness();
        }
        if !PROMISES.contains(&status) {
            break;
        }
        let left = DEADLINE.saturating_sub(begun.elapsed());
        std::thread::sleep(wait.min(left / 3));
    }
    if trouble {
        std::thread::sleep(DARK.saturating_sub(begun.elapsed()));
        servers.iter().for_each(Plain::come_back);
        std::thread::sleep(Duration::from_millis(700));
    }
    broken
}

fn has_run(servers: &[Plain], id: &str) -> bool {
    let ran = |server: &Plain| {
        server
            .ran
            .lock()
            .is_ok_and(|ran| ran.iter().any(|own| own == id))
    };
    servers.iter().any(ran)
}

/// Sends a request; returns its status, 0 without an answer, and when to come back.
fn ask(record: &Record, entry: &Entry, id: &str, order: u32, left: Duration) -> (u16, Duration) {
    let body = format!("wool order {order}");
    let request = format!(
        "POST /ficha/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    record.note(&format!(
        "client sends {id}, Deadline-Ms {}",
        left.as_millis()
    ));
    let (head, mut reader) = match http::send(entry.address, request.as_bytes(), left) {
        Ok(answered) => answered,
        Err(error) => {
            record.note(&format!("client has no answer to {id}: {error}"));
            return (0, Duration::ZERO);
        }
    };
    let mut body = Vec::new();
    let end = http::read_body(&mut reader, &head, |piece| body.extend_from_slice(piece));
    let text = String::from_utf8_lossy(&body);
    let after = head.header("Retry-After").unwrap_or("-");
    let signature = head.header("Server-Signature").unwrap_or("-");
    record.note(&format!(
        "client gets {} to {id}, Retry-After {after}, Server-Signature {signature}, body {text:?} {}",
        head.status(),
        if end == End::Whole { "whole" } else { "broken off" }
    ));
    let wait = Duration::try_from_secs_f64(after.parse().unwrap_or(0.0)).unwrap_or_default();
    (head.status(), wait)
}
