//! Answers are cut off whose clients read slowly.
//!
//! Clients with a small window read an answer of 64 KB at 10 KB a second, without a pause of more
//! than 50 ms and well within its deadline. First six of them do so on kept connections, while
//! nothing else happens. Then three more do so while the entry stops as planned.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::time::{Duration, Instant};

use super::{HOST, KEY, Outcome, configuration, service};
use crate::entry::{self, Entry};
use crate::http;
use crate::record::Record;
use crate::server;
use crate::store::Store;

const SERVICE: &str = "palengke-app";
const SERVERS: u16 = 3;
const WORK: Duration = Duration::from_millis(400);
/// The length of a long answer, and the path by which it is asked for.
const LENGTH: usize = 64_000;
const LONG: &str = "/stock/long";
/// What a client reads at a time, and how often: 10 KB a second, the whole in 6.4 s.
const READ: usize = 500;
const READ_EVERY: Duration = Duration::from_millis(50);
/// A client's receive buffer, as it asks for it.
const WINDOW: i32 = 16 * 1_024;
const DEADLINE_MS: u64 = 8_000;
const KEPT: u32 = 6;
/// More closed connections than this break the rule.
const ALLOWED: usize = 3;
const STOPPED: u32 = 3;
/// When the entry gets SIGTERM, from the requests of the second part on.
const TERMINATED_AFTER: Duration = Duration::from_millis(200);
/// How long a stopping process is left, `GraceS`.
const GRACE: Duration = Duration::from_secs(8);

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const InternetAddress, length: u32) -> i32;
}

#[repr(C)]
struct InternetAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Connects with a small window, which has to be set before.
fn connect_small(to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let address = InternetAddress {
        family: u16::try_from(AF_INET).unwrap_or_default(),
        port: to.port().to_be_bytes(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the calls get a descriptor of this function's own, which the stream then owns, and
    // pointers to values that outlive them, with their lengths.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW, 4);
        if connect(descriptor, &address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Runs a server that answers with a stated length and keeps its connections.
fn serve(address: SocketAddr, id: String, record: Record) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            std::thread::spawn(move || answer(stream, &id, &record));
        }
    });
    Ok(())
}

fn answer(mut stream: TcpStream, id: &str, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read_request(&mut reader)? {
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        let length = if request.start[1] == LONG { LENGTH } else { 20 };
        record.note(&format!("server {id} runs {attempt}"));
        std::thread::sleep(WORK);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'.'; length])?;
        record.note(&format!(
            "server {id} has answered {attempt} with 200 and {length} bytes"
        ));
    }
    Ok(())
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let ip = entry::free_address().ok_or("no free loopback address")?;
    let failed = |error: io::Error| error.to_string();
    let store = Store::start(SocketAddr::from((ip, entry::STORE))).map_err(failed)?;
    for number in 0..SERVERS {
        let (address, id) = (
            SocketAddr::from((ip, entry::SERVERS + number)),
            format!("i-{number}"),
        );
        serve(address, id.clone(), record.clone()).map_err(failed)?;
        let zone = entry::TIANGGE.zone(number);
        store.put(
            "servers",
            &id,
            &server::registration(SERVICE, address, zone, 6, server::now_ms()),
        );
    }
    let route = format!(
        "{{\"Name\":\"r-stock\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/stock/\",\"Type\":\"idempotent\",\"TimeoutMs\":{DEADLINE_MS},\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\"Anonymous\":false,\"SessionAffinity\":false,\"Resumable\":false}}"
    );
    store.put(
        "config",
        "main",
        &configuration(&[route], &[service(SERVICE, 440)]),
    );
    let mut entry = Entry::start(ip, &entry::TIANGGE)?;
    std::thread::sleep(Duration::from_secs(2));

    let pace = if trouble { READ_EVERY } else { Duration::ZERO };
    record.note("part one: requests on kept connections, nothing else happens");
    let kept = start(record, entry.address, "kept", KEPT, true, pace);
    let cut = join(kept);
    record.note(&format!(
        "{cut} of {KEPT} kept connections were closed without a whole answer"
    ));

    record.note("part two: a planned stop");
    let stopped = start(record, entry.address, "stop", STOPPED, false, pace);
    std::thread::sleep(TERMINATED_AFTER);
    let terminated = Instant::now();
    entry.terminate();
    record.note("the entry gets SIGTERM");
    while !entry.has_ended() && terminated.elapsed() < GRACE {
        std::thread::sleep(Duration::from_millis(10));
    }
    let after = terminated.elapsed().as_secs_f64();
    record.note(&format!("the entry has ended {after:.2} s after SIGTERM"));
    let cut_by_stop = join(stopped);
    record.note(&format!(
        "{cut_by_stop} of {STOPPED} answers were cut off around the stop"
    ));
    for line in entry.log_lines("request ended") {
        record.note(&format!("entry: {line}"));
    }
    Ok(cut > ALLOWED || cut_by_stop > 0)
}

type Reading = std::thread::JoinHandle<bool>;

/// Starts so many clients.
fn start(
    record: &Record,
    address: SocketAddr,
    name: &str,
    clients: u32,
    is_kept: bool,
    pace: Duration,
) -> Vec<Reading> {
    let client = |number: u32| {
        let (record, id) = (record.clone(), format!("{name}-{number}"));
        std::thread::spawn(move || receive(&record, address, &id, is_kept, pace))
    };
    (1..=clients).map(client).collect()
}

/// Returns how many clients have no whole answer.
fn join(clients: Vec<Reading>) -> usize {
    let whole = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(false));
    whole.filter(|whole| !whole).count()
}

/// Gets one long answer; returns whether it came as a whole.
fn receive(record: &Record, address: SocketAddr, id: &str, is_kept: bool, pace: Duration) -> bool {
    let begun = Instant::now();
    let outcome = read_long(address, id, is_kept, pace);
    let after = begun.elapsed().as_secs_f64();
    match outcome {
        Ok((read, end)) => {
            record.note(&format!(
                "client has {read} of {LENGTH} bytes for {id} after {after:.2} s: {end}"
            ));
            read == LENGTH
        }
        Err(error) => {
            record.note(&format!(
                "client has no answer to {id} after {after:.2} s: {error}"
            ));
            false
        }
    }
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token {KEY}\r\n\r\n"
    )
}

fn read_long(
    address: SocketAddr,
    id: &str,
    is_kept: bool,
    pace: Duration,
) -> io::Result<(usize, &'static str)> {
    let mut stream = connect_small(address)?;
    let mut reader = BufReader::with_capacity(512, stream.try_clone()?);
    let ok = |head: Option<http::Message>| {
        let head = head.filter(|head| head.status() == 200);
        head.ok_or_else(|| io::Error::other("another status than 200"))
    };
    if is_kept {
        stream.write_all(request("/stock/short", &format!("{id}-first")).as_bytes())?;
        let head = ok(http::read_head(&mut reader)?)?;
        if http::read_body(&mut reader, &head, |_| ()) != http::End::Whole {
            return Err(io::Error::other(
                "the first answer on the connection broke off",
            ));
        }
    }
    let begun = Instant::now();
    stream.write_all(request(LONG, id).as_bytes())?;
    ok(http::read_head(&mut reader)?)?;
    let mut piece = [0; READ];
    let mut read = 0;
    while read < LENGTH {
        if begun.elapsed() > Duration::from_millis(DEADLINE_MS) {
            return Ok((read, "the deadline is over"));
        }
        match reader.read(&mut piece) {
            Ok(0) => return Ok((read, "the connection ended")),
            Ok(count) => read += count,
            Err(_) => return Ok((read, "the connection was reset")),
        }
        std::thread::sleep(pace);
    }
    Ok((read, "whole"))
}
