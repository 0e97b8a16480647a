//! A plain service, some of whose calls must not be repeated.
//!
//! A path may carry a prefix. `POST .../echo` answers with its body.
//! `POST .../orders` places an order each time that it runs, also for a key
//! that has been seen, and answers with the number of the order. Both run to
//! their end when the caller goes away meanwhile.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactusnotch_base::outcome::Key;
use cactusnotch_derive::record;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;

use crate::sync::lock;
use crate::web::{self, Lost, Server, refusal};

/// The largest request body, in bytes.
const BODY_LIMIT: usize = 16 << 20;

type Reply = Response<Full<Bytes>>;

/// Where a service listens and how long its calls take.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// The time from the start of a run to its effect.
    pub delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            delay: Duration::ZERO,
        }
    }
}

/// One run of a call.
#[record]
pub struct Run {
    /// The header `request-id`.
    pub request: String,
    /// The header `idempotency-key`.
    pub key: Option<Key>,
    /// The path of the call.
    pub path: String,
    /// Whether the run has come to its effect.
    pub completed: bool,
}

#[derive(Debug)]
struct Core {
    delay: Duration,
    lost: usize,
    orders: u64,
    runs: Vec<Run>,
}

/// A running service. It stops when it is dropped.
#[derive(Debug)]
pub struct Service {
    core: Arc<Mutex<Core>>,
    server: Server,
}

impl Service {
    /// Starts a service without orders.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(options: &Options) -> io::Result<Self> {
        let core = Arc::new(Mutex::new(Core {
            delay: options.delay,
            lost: 0,
            orders: 0,
            runs: Vec::new(),
        }));
        let shared = Arc::clone(&core);
        let server = Server::start(options.address, move |request| {
            answer(Arc::clone(&shared), request)
        })?;
        Ok(Self { core, server })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the time from the start of a run to its effect.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.core).delay = delay;
    }

    /// Breaks off the connection of the next `count` runs after their effect.
    pub fn lose_replies(&self, count: usize) {
        lock(&self.core).lost = count;
    }

    /// Begins or ends an outage, in which connections are broken off.
    pub fn set_outage(&self, outage: bool) {
        self.server.refuse(outage);
    }

    /// Returns all runs in the order of their starts.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.core).runs.clone()
    }

    /// Returns how many runs with `key` have started.
    #[must_use]
    pub fn starts(&self, key: &str) -> usize {
        let core = lock(&self.core);
        let keys = core.runs.iter().filter_map(|run| run.key.as_ref());
        keys.filter(|own| own.as_str() == key).count()
    }

    /// Returns the number of orders placed.
    #[must_use]
    pub fn orders(&self) -> u64 {
        lock(&self.core).orders
    }
}

/// The two calls of a service.
#[derive(Clone, Copy)]
enum Call {
    Echo,
    Order,
}

async fn answer(core: Arc<Mutex<Core>>, request: Request<Incoming>) -> Result<Reply, Lost> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let call = match path.rsplit('/').next() {
        Some("echo") if head.method == Method::POST => Call::Echo,
        Some("orders") if head.method == Method::POST => Call::Order,
        _ => return Ok(refusal(StatusCode::NOT_FOUND, "no such path")),
    };
    let body = match web::bytes(body, BODY_LIMIT).await {
        Ok(body) => body,
        Err(reply) => return Ok(*reply),
    };
    let run = begin(&core, path, &head.headers);
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    // A run goes on when its caller goes away.
    tokio::spawn(async move {
        let delay = lock(&core).delay;
        tokio::time::sleep(delay).await;
        end(&core, run, call, body, content_type)
    })
    .await
    .unwrap_or(Err(Lost))
}

fn begin(core: &Mutex<Core>, path: &str, headers: &HeaderMap) -> usize {
    let text = |name| web::header(headers, name).map(str::to_owned);
    let run = Run {
        request: text("request-id").unwrap_or_default(),
        key: text("idempotency-key").map(Key::new),
        path: path.to_owned(),
        completed: false,
    };
    let mut core = lock(core);
    core.runs.push(run);
    core.runs.len() - 1
}

fn end(
    core: &Mutex<Core>,
    run: usize,
    call: Call,
    body: Bytes,
    content_type: Option<HeaderValue>,
) -> Result<Reply, Lost> {
    let mut core = lock(core);
    core.runs[run].completed = true;
    let reply = match call {
        Call::Echo => echo(body, content_type),
        Call::Order => {
            core.orders += 1;
            web::json(StatusCode::OK, &json!({ "order": core.orders }))
        }
    };
    if core.lost > 0 {
        core.lost -= 1;
        return Err(Lost);
    }
    Ok(reply)
}

fn echo(body: Bytes, content_type: Option<HeaderValue>) -> Reply {
    let mut reply = Response::new(Full::new(body));
    if let Some(content_type) = content_type {
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    reply
}
