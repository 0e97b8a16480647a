//! A stream that its server's crash cut off looks complete to the client.
//!
//! Six servers answer a resumable `streaming` route. Twelve clients get streams at once, and one
//! of the six servers, a process of its own, is killed in the midst of them and started again
//! later. This happens twice: soon after the streams have begun, for comparison, and later. In the
//! course `stream-left` that server leaves instead: it says that it drains, serves for `DrainMs` and
//! a little longer, and exits.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::{HOST, KEY, Outcome, configuration, service};
use crate::entry::{self, Entry};
use crate::http::{self, End};
use crate::record::Record;
use crate::server;
use crate::store::Store;

const SERVICE: &str = "hilo-modelo";
const SERVERS: u16 = 6;
const CLIENTS: u32 = 12;
/// The events of a stream and the pause before each.
const EVENTS: u32 = 24;
const PAUSE_MS: u64 = 100;
/// The lapse of a silent server's registration: three heartbeat intervals.
const LAPSE: Duration = Duration::from_millis(3 * 1_200);
/// How long a server that drains goes on: `DrainMs`, and a little longer.
const DRAINING: Duration = Duration::from_millis(2_000 + 100);
/// How long a killed server is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// How a server comes to its end in the midst of streams.
#[derive(Clone, Copy)]
pub enum Cut {
    /// It is killed.
    Killed,
    /// It leaves, as planned.
    Left,
}

impl Cut {
    /// Returns the events of a stream after which it comes to that, in each episode.
    fn episodes(self) -> &'static [u32] {
        match self {
            Self::Killed => &[2, 10],
            Self::Left => &[1],
        }
    }
}

/// A server in a process of its own, which is killed when this is dropped.
struct Server {
    id: String,
    port: u16,
    registration: String,
    child: Child,
    /// The most events that it has sent of one stream.
    sent: Arc<AtomicU32>,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Server {
    fn start(record: &Record, ip: Ipv4Addr, port: u16, id: &str) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(["server", &ip.to_string(), &port.to_string(), id])
            .args([EVENTS.to_string(), PAUSE_MS.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("no output")?;
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().and_then(Result::ok);
        let sent = Arc::new(AtomicU32::new(0));
        let server = Self {
            id: id.to_owned(),
            port,
            registration: String::new(),
            child,
            sent: Arc::clone(&sent),
        };
        if first.as_deref() != Some("listens") {
            return Err(format!("server {id} does not listen"));
        }
        let (record, id) = (record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(rest) = line.strip_prefix("sent event ") {
                    let number = rest
                        .split(' ')
                        .next()
                        .and_then(|number| number.parse().ok());
                    sent.fetch_max(number.unwrap_or(0), Ordering::SeqCst);
                }
                record.note(&format!("server {id} {line}"));
            }
        });
        Ok(server)
    }
}

/// What a client got of its stream.
#[derive(Debug)]
struct Got {
    id: String,
    status: u16,
    events: Vec<u32>,
    end: End,
}

impl Got {
    /// Returns whether the stream breaks the rule: a piece is missing, comes twice or out of its
    /// order, or the stream ends as complete before its last piece.
    fn breaks_order(&self) -> bool {
        let in_order = self
            .events
            .iter()
            .zip(1..)
            .all(|(&event, number)| event == number);
        let ends_early = self.end == End::Whole && self.events.last() != Some(&EVENTS);
        self.status == 200 && (!in_order || ends_early)
    }
}

pub fn run(record: &Record, trouble: bool, cut: Cut) -> Outcome {
    let ip = entry::free_address().ok_or("no free loopback address")?;
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::start(SocketAddr::from((ip, entry::STORE))).map_err(failed)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(join_service(
            record,
            &store,
            ip,
            entry::SERVERS + number,
            &format!("i-{number}"),
        )?);
    }
    let route = format!(
        "{{\"Name\":\"r-patron\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/patron/\",\"Type\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\"Anonymous\":false,\"SessionAffinity\":true,\"Resumable\":true,\"TargetGapMs\":120}}"
    );
    store.put(
        "config",
        "main",
        &configuration(&[route], &[service(SERVICE, 408)]),
    );
    let entry = Entry::start(ip, &entry::ARRIETA)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut broken = false;
    for (episode, &after) in (1..).zip(cut.episodes()) {
        record.note(&format!("episode {episode}"));
        let clients: Vec<_> = (1..=CLIENTS)
            .map(|number| {
                let (record, address) = (record.clone(), entry.address);
                let id = format!("stream-{episode}-{number}");
                std::thread::spawn(move || receive(&record, address, id, number))
            })
            .collect();
        let begun = Instant::now();
        let ended = trouble.then(|| end_one(record, &store, &servers, cut, after));
        let ended = ended.transpose()?;
        for got in clients.into_iter().filter_map(|client| client.join().ok()) {
            if got.breaks_order() {
                broken = true;
                let last = got.events.last();
                record.note(&format!(
                    "{} ends as complete after {last:?} of {EVENTS} events",
                    got.id
                ));
            }
        }
        if let Some(at) = ended {
            std::thread::sleep(DOWN.saturating_sub(begun.elapsed()));
            let (port, id) = (servers[at].port, format!("{}-again", servers[at].id));
            servers[at] = join_service(record, &store, ip, port, &id)?;
        }
        servers
            .iter()
            .for_each(|server| server.sent.store(0, Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(1_500));
    }
    for line in entry.log_lines("\"id\":\"stream") {
        record.note(&format!("entry: {line}"));
    }
    Ok(broken)
}

/// Starts a server and registers it.
fn join_service(
    record: &Record,
    store: &Store,
    ip: Ipv4Addr,
    port: u16,
    id: &str,
) -> Result<Server, String> {
    let mut server = Server::start(record, ip, port, id)?;
    let zone = entry::ARRIETA.zone(port - entry::SERVERS);
    let address = SocketAddr::from((ip, port));
    server.registration = server::registration(SERVICE, address, zone, 12, server::now_ms());
    store.put("servers", id, &server.registration);
    Ok(server)
}

/// Ends the server that has first sent so many events of a stream; returns its index.
fn end_one(
    record: &Record,
    store: &Store,
    servers: &[Server],
    cut: Cut,
    after: u32,
) -> Result<usize, String> {
    let end = Instant::now() + Duration::from_secs(5);
    let ready = |server: &Server| server.sent.load(Ordering::SeqCst) >= after;
    let at = loop {
        if let Some(at) = servers.iter().position(ready) {
            break at;
        }
        if Instant::now() > end {
            return Err("no server has sent enough events".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let server = &servers[at];
    let id = server.id.clone();
    match cut {
        Cut::Killed => {
            entry::send_signal(&server.child, entry::SIGKILL);
            record.note(&format!("server {id} is killed"));
            let store = store.clone();
            std::thread::spawn(move || {
                std::thread::sleep(LAPSE);
                store.delete("servers", &id);
            });
        }
        Cut::Left => {
            store.put("servers", &id, &server::drained(&server.registration));
            record.note(&format!("server {id} says that it drains"));
            std::thread::sleep(DRAINING);
            // As its exit: the connections end, those of the streams as well.
            entry::send_signal(&server.child, entry::SIGKILL);
            record.note(&format!("server {id} exits"));
            store.delete("servers", &id);
        }
    }
    Ok(at)
}

/// Gets one stream.
fn receive(record: &Record, address: SocketAddr, id: String, number: u32) -> Got {
    let body = format!("pattern card {number}");
    let request = format!(
        "POST /patron/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 714,97\r\nPrefix-Hash: 5c1e07a2:40,{number:08x}:674\r\nDeadline-Ms: 8000\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut got = Got {
        id,
        status: 0,
        events: Vec::new(),
        end: End::BrokenOff,
    };
    let sent = http::send(address, request.as_bytes(), Duration::from_secs(8));
    let Ok((head, mut reader)) = sent else {
        record.note(&format!("client gets no answer to {}", got.id));
        return got;
    };
    got.status = head.status();
    let mut text = Vec::new();
    got.end = http::read_body(&mut reader, &head, |piece| text.extend_from_slice(piece));
    let text = String::from_utf8_lossy(&text);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    got.events = ids.filter_map(|id| id.parse().ok()).collect();
    record.note(&format!(
        "client has {} for {}: events {:?} to {:?}, {} in all, {}",
        got.status,
        got.id,
        got.events.first(),
        got.events.last(),
        got.events.len(),
        if got.end == End::Whole {
            "complete (last chunk received)"
        } else {
            "broken off"
        }
    ));
    got
}
