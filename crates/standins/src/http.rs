//! A plain HTTP server on threads of its own.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rouille::{Request, Response};
use serde::de::DeserializeOwned;

/// How often the accepting thread looks whether it is to stop.
const POLL: Duration = Duration::from_millis(5);

/// A server that answers each request on its own thread, until dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `address` and serves `handler`.
    pub(crate) fn start<F>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server = rouille::Server::new(address, handler).map_err(io::Error::other)?;
        let address = server.server_addr();
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            while !flag.load(Ordering::Acquire) {
                server.poll_timeout(POLL);
            }
        });
        Ok(Self {
            address,
            stopped,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// The body of a request could not be used; holds the answer to give.
pub(crate) struct Unusable(pub(crate) Response);

/// Reads the JSON body of `request`, of at most `limit` bytes.
pub(crate) fn body<T: DeserializeOwned>(request: &Request, limit: u64) -> Result<T, Unusable> {
    let mut bytes = Vec::new();
    let Some(data) = request.data() else {
        return Err(Unusable(refusal(400, "the body has been read")));
    };
    if data.take(limit + 1).read_to_end(&mut bytes).is_err() {
        return Err(Unusable(refusal(400, "the body broke off")));
    }
    if bytes.len() as u64 > limit {
        return Err(Unusable(refusal(413, "the body is too large")));
    }
    serde_json::from_slice(&bytes).map_err(|error| {
        Unusable(refusal(
            400,
            &format!("the body is not understood: {error}"),
        ))
    })
}

/// Returns an answer of `status` with `detail` as its reason.
pub(crate) fn refusal(status: u16, detail: &str) -> Response {
    Response::json(&serde_json::json!({ "detail": detail })).with_status_code(status)
}
