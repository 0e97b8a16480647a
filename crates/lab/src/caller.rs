//! A caller over HTTP, which checks what it is told.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_standins::engine::{self, Message};
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;
use uuid::Uuid;

use crate::Failure;
use crate::transcript::Transcript;

/// The path of chat completions.
pub(crate) const PATH: &str = "/v1/chat/completions";

/// Returns a new key that says when it was made, as non-idempotent requests
/// need.
#[must_use]
pub fn key() -> String {
    Uuid::now_v7().to_string()
}

/// A chat completion to ask for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The organisation of the caller.
    pub organisation: String,
    /// The model.
    pub model: String,
    /// What the user says.
    pub prompt: String,
    /// The tokens to make.
    pub max_tokens: usize,
    /// The key of the request, if it has one.
    pub key: Option<String>,
    /// Whether the request may be repeated, if it says so.
    pub idempotent: Option<bool>,
    /// The last event that the caller has, if it resumes.
    pub after: Option<u64>,
}

impl Ask {
    /// Returns the headers of the request.
    pub(crate) fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![("OpenAI-Organization", self.organisation.clone())];
        if let Some(key) = &self.key {
            headers.push(("Idempotency-Key", key.clone()));
        }
        if let Some(idempotent) = self.idempotent {
            headers.push(("Cactusnotch-Idempotent", idempotent.to_string()));
        }
        if let Some(after) = self.after {
            headers.push(("Last-Event-ID", after.to_string()));
        }
        headers
    }

    /// Returns the body of the request.
    pub(crate) fn body(&self) -> Value {
        json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.max_tokens,
            "stream": true,
        })
    }

    /// Returns the text that the stand-in engines answer with.
    #[must_use]
    pub fn expected(&self) -> String {
        let message = Message {
            role: "user".to_owned(),
            content: self.prompt.clone(),
        };
        engine::answer(&self.model, &engine::prompt(&[message]), self.max_tokens)
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Whole(Answer),
    /// A refusal before any piece, with the status and the outcome header.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The outcome header, empty without one.
        outcome: String,
        /// The problem's kind and detail.
        detail: String,
        /// The seconds after which to come back.
        retry_after: Option<u64>,
    },
    /// An answer that broke before its end mark, with what came of it.
    Broken(Answer),
}

/// A streamed answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Answer {
    /// The text.
    pub text: String,
    /// The number of the last event.
    pub last_event: u64,
    /// When the first token came, after the request was sent.
    pub first_token: Option<Duration>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The outcome that a final error event stated, if there was one.
    pub stated: Option<String>,
    /// Whether the transport said that the answer broke off.
    pub is_severed: bool,
    /// Whether an event did not have the number after the last one's.
    pub misnumbered: bool,
}

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<Address>,
}

#[derive(Debug, Deserialize)]
struct Address {
    address: SocketAddr,
}

/// A caller over HTTP.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
    trace: Option<String>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(Duration::from_secs(30))
    }
}

impl Caller {
    /// Creates a caller that gives up after `patience`.
    #[must_use]
    pub fn new(patience: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(patience))
            .build()
            .new_agent();
        Self { agent, trace: None }
    }

    /// Lets the caller's requests be part of a trace, given as the W3C header
    /// `traceparent`.
    #[must_use]
    pub fn with_trace(mut self, header: String) -> Self {
        self.trace = Some(header);
        self
    }

    /// Asks an entry for the addresses to use.
    ///
    /// # Errors
    ///
    /// Fails if no list comes.
    pub fn addresses(&self, entry: SocketAddr) -> Result<Vec<SocketAddr>, Failure> {
        let url = format!("http://{entry}/v1/addresses");
        let fail = |error: ureq::Error| Failure::new("request for addresses", error);
        let mut response = self.agent.get(url).call().map_err(fail)?;
        let list: Addresses = response.body_mut().read_json().map_err(fail)?;
        Ok(list.addresses.into_iter().map(|row| row.address).collect())
    }

    /// Asks `address` for a ticket for `ask` and returns it as a key.
    ///
    /// # Errors
    ///
    /// Fails if none is issued.
    pub fn ticket(&self, address: SocketAddr, ask: &Ask) -> Result<String, Failure> {
        let fail = Failure::at("request for a ticket");
        let mut response = self
            .agent
            .post(format!("http://{address}/v1/tickets"))
            .header("OpenAI-Organization", &ask.organisation)
            .send_json(json!({"model": ask.model}))
            .map_err(&fail)?;
        let issued: Value = response.body_mut().read_json().map_err(&fail)?;
        let key = issued["key"].as_str().map(str::to_owned);
        key.ok_or_else(|| Failure::new("request for a ticket", issued))
    }

    /// Asks `address` for a streamed chat completion.
    ///
    /// # Errors
    ///
    /// Fails if the request brought no response at all; what became of it is
    /// unknown then.
    pub fn ask(&self, address: SocketAddr, ask: &Ask) -> Result<Outcome, Failure> {
        let mut request = self.agent.post(format!("http://{address}{PATH}"));
        if let Some(trace) = &self.trace {
            request = request.header("traceparent", trace);
        }
        for (name, value) in ask.headers() {
            request = request.header(name, value);
        }
        let start = clock::now();
        let mut response = request
            .send_json(ask.body())
            .map_err(|error| Failure::new("request for a completion", error))?;
        if response.status() != 200 {
            return Ok(refused(&mut response));
        }
        Ok(read(response.into_body().into_reader(), start, ask.after))
    }
}

fn refused(response: &mut ureq::http::Response<ureq::Body>) -> Outcome {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = header("cactusnotch-outcome").unwrap_or_default();
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    Outcome::Refused {
        status: response.status().as_u16(),
        outcome,
        retry_after,
        detail: response.body_mut().read_to_string().unwrap_or_default(),
    }
}

fn read(body: impl std::io::Read, start: Instant, after: Option<u64>) -> Outcome {
    let mut transcript = Transcript::new(start, after);
    for line in BufReader::new(body).lines() {
        match line {
            Ok(line) => transcript.line(&line),
            Err(_) => return transcript.finish(true),
        }
        if transcript.is_whole() {
            break;
        }
    }
    transcript.finish(false)
}
