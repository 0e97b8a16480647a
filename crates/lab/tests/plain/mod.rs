//! A system with one plain service that a test serves itself, byte by byte.

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cactusnotch_entry::Server;
use cactusnotch_lab::Operator;
use cactusnotch_lab::cluster::{Cluster, Options, service_endpoint};
use cactusnotch_lab::operator::set;
use cactusnotch_settings::{Id, Key, Route, Value};

const MODEL: &str = "moe";
const ORGANISATION: &str = "arrieta";
const PATIENCE: Duration = Duration::from_secs(20);

/// Reads a request; returns whether there was one.
pub fn read_request(reader: &mut impl BufRead) -> bool {
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

/// Starts a system with one plain service at `service`; returns it with its callers' address.
pub async fn start(service: SocketAddr) -> (Cluster, SocketAddr) {
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
pub fn ask(entry: SocketAddr) -> String {
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
