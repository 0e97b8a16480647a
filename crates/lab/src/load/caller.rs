//! A caller of many streams at a time.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use cactusnotch_base::clock::Instant;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::caller::{Ask, Outcome, PATH};
use crate::transcript::Transcript;

/// The longest body of a refusal that is read, in bytes.
const PROBLEM_LIMIT: usize = 64 << 10;

/// A request that brought no response.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection was made, so that nothing was sent.
    #[display("request to {address}: no connection: {detail}")]
    Unconnected {
        /// Where to.
        address: SocketAddr,
        /// The failure.
        detail: String,
    },
    /// The connection broke before a response came.
    #[display("request to {address}: no response: {detail}")]
    Silent {
        /// Where to.
        address: SocketAddr,
        /// The failure.
        detail: String,
    },
    /// No response came before the caller gave up.
    #[display("request to {address}: no response in time")]
    Late {
        /// Where to.
        address: SocketAddr,
    },
}

/// A caller of many streams at a time.
#[derive(Debug, Clone)]
pub struct Streamer {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Streamer {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl Streamer {
    /// Asks `address` for a streamed chat completion that was due to be asked
    /// for at `start`, and goes away at `until`.
    ///
    /// # Errors
    ///
    /// Fails if the request brought no response.
    pub async fn ask(
        &self,
        address: SocketAddr,
        ask: &Ask,
        start: Instant,
        until: Instant,
    ) -> Result<Outcome, Error> {
        let request = request(address, ask);
        let response = tokio::time::timeout(until.remaining(), self.client.request(request))
            .await
            .map_err(|_| Error::Late { address })?
            .map_err(|error| failure(address, &error))?;
        if response.status() != StatusCode::OK {
            return Ok(refused(response).await);
        }
        let mut reader = Reader::new(response, start, ask.after);
        let is_in_time = tokio::time::timeout(until.remaining(), reader.read()).await;
        Ok(reader.finish(is_in_time.unwrap_or(false)))
    }
}

fn request(address: SocketAddr, ask: &Ask) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method("POST")
        .uri(format!("http://{address}{PATH}"))
        .header(CONTENT_TYPE, "application/json");
    for (name, value) in ask.headers() {
        request = request.header(name, value);
    }
    let body = Full::new(Bytes::from(ask.body().to_string()));
    request
        .body(body)
        .expect("an address, the constant names and a plan's values make a request")
}

fn failure(address: SocketAddr, error: &hyper_util::client::legacy::Error) -> Error {
    let detail = error.to_string();
    if error.is_connect() {
        Error::Unconnected { address, detail }
    } else {
        Error::Silent { address, detail }
    }
}

async fn refused(response: Response<Incoming>) -> Outcome {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = header("cactusnotch-outcome").unwrap_or_default();
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    let status = response.status().as_u16();
    let body = http_body_util::Limited::new(response.into_body(), PROBLEM_LIMIT);
    let detail = match body.collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(error) => error.to_string(),
    };
    Outcome::Refused {
        status,
        outcome,
        detail,
        retry_after,
    }
}

/// The reader of one streamed answer.
struct Reader {
    body: Incoming,
    buffer: BytesMut,
    transcript: Transcript,
}

impl Reader {
    fn new(response: Response<Incoming>, start: Instant, after: Option<u64>) -> Self {
        Self {
            body: response.into_body(),
            buffer: BytesMut::new(),
            transcript: Transcript::new(start, after),
        }
    }

    /// Reads to the end and tells whether the transport ended well.
    async fn read(&mut self) -> bool {
        loop {
            match self.frame().await {
                None => return true,
                Some(false) => return false,
                Some(true) => {}
            }
        }
    }

    /// Reads one frame; nothing at the end, `false` if the transport broke.
    async fn frame(&mut self) -> Option<bool> {
        let Ok(frame) = self.body.frame().await? else {
            return Some(false);
        };
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end + 1);
            self.transcript.line(&String::from_utf8_lossy(&line[..end]));
        }
        Some(true)
    }

    fn finish(self, ended_well: bool) -> Outcome {
        self.transcript.finish(!ended_well)
    }
}
