//! Plain services that spoil the heads of their answers, behind an agent.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactusnotch_entry::Server;
use cactusnotch_lab::Operator;
use cactusnotch_lab::cluster::{Cluster, Options, service_endpoint};
use cactusnotch_lab::operator::set;
use cactusnotch_settings::{Id, Key, Route, Value};

const MODEL: &str = "moe";
const ORGANISATION: &str = "arrieta";
const PATIENCE: Duration = Duration::from_secs(20);
/// The body of a service's answer in chunks.
const CHUNKED: &str = "4\r\ndone\r\n0\r\n\r\n";

/// Heads that are sound, with what follows them.
const SOUND: [(&str, &str); 2] = [
    ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", CHUNKED),
];

/// Heads that are spoilt at their status, at a line, or where they state the length.
const SPOILT: [(&str, &str); 16] = [
    ("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 101 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 600 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length 2\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-\u{1}Length: 2\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nOdd Name: x\r\n", "done"),
    ("HTTP/1.1 200 OK\r\ngarbage\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n", CHUNKED),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkedx\r\n",
        CHUNKED,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        CHUNKED,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n",
        CHUNKED,
    ),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n", CHUNKED),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        CHUNKED,
    ),
];

/// The answer that a service gives.
type Answer = Arc<Mutex<(&'static str, &'static str)>>;

/// Reads a request; returns whether there was one.
fn read_request(reader: &mut impl BufRead) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).is_ok()
}

/// Starts a service that gives `answer` to each request and closes.
fn serve(answer: &Answer) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let answer = Arc::clone(answer);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
            if read_request(&mut reader) {
                let (head, body) = *answer.lock().expect("no thread panics");
                // The agent may have closed the connection at the head.
                let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
            }
        }
    });
    address
}

/// Starts a system with one plain service at `service`; returns it with its callers' address.
async fn start(service: SocketAddr) -> (Cluster, SocketAddr) {
    let mut cluster = Cluster::start(&Options::default()).await.unwrap();
    cluster.add_service_agent(service).await.unwrap();
    let platform = cluster.platform_options();
    let operators: Vec<_> = cluster.entries.iter().map(Server::operators).collect();
    let settled = tokio::task::spawn_blocking(move || {
        let mut operator = Operator::new(&platform);
        operator.declare(ORGANISATION, MODEL, 2).unwrap();
        let route = Route {
            prefix: "/shop".to_owned(),
            endpoints: vec![service_endpoint(0).to_string()],
            repeatable: false,
        };
        let routes = Value::Routes(vec![route]);
        let operations = vec![set(&Id::new(ORGANISATION), Key::Routes, routes)];
        let revision = operator.edit("declare routes", operations).unwrap();
        for address in operators {
            operator
                .wait(address, PATIENCE, |status| {
                    status.revision == revision && status.serving() == 3
                })
                .unwrap();
        }
    });
    settled.await.unwrap();
    let callers = Server::callers(&cluster.entries[0]);
    (cluster, callers)
}

/// Sends a request; returns what came until the connection was closed.
fn ask(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry listens");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a time is set");
    let request = format!(
        "POST /shop/orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\nOpenAI-Organization: {ORGANISATION}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the entry reads");
    let mut answer = String::new();
    // A connection that is reset is an answer that isn't whole.
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against an answer with a spoilt head that an agent of the product's own way passes on.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_passes_on_no_answer_with_a_spoilt_head() {
    let answer = Answer::new(Mutex::new(SOUND[0]));
    let (_cluster, entry) = start(serve(&answer)).await;
    let passed = tokio::task::block_in_place(|| {
        let tell = |told| {
            *answer.lock().expect("no thread panics") = told;
            ask(entry)
        };
        for sound in SOUND {
            let got = tell(sound);
            let is_whole = got.starts_with("HTTP/1.1 200 ") && got.contains("done");
            assert!(is_whole, "{sound:?}: {got}");
        }
        let is_own = |got: &str| got.starts_with("HTTP/1.1 502 ");
        let passed = SPOILT.into_iter().map(|spoilt| (spoilt, tell(spoilt)));
        passed
            .filter(|(_, got)| !is_own(got))
            .map(|(spoilt, got)| format!("{spoilt:?}: {got}"))
            .collect::<Vec<_>>()
    });
    assert!(
        passed.is_empty(),
        "{} of {}:\n{}",
        passed.len(),
        SPOILT.len(),
        passed.join("\n")
    );
}
