//! The object API over HTTP.

use std::time::Duration;

use cactusnotch_head as head;
use serde::Deserialize;
use serde_json::Value;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};

use crate::object::{Changes, Condition, Object, Path, Version};
use crate::store::{Error, Store};

/// The largest response that is read, in bytes, which suffices for a listing of
/// large objects.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Configuration of a client.
#[derive(Debug, Clone)]
pub struct Options {
    /// The base address, such as `http://127.0.0.1:7000`.
    pub base: String,
    /// The timeout of a call, in addition to the wait of a watch.
    pub timeout: Duration,
}

/// A client of the object API over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    timeout: Duration,
    agent: Agent,
}

#[derive(Deserialize)]
struct Written {
    version: Version,
}

impl Client {
    /// Creates a client. Connects on the first call.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .build()
            .new_agent();
        Self {
            base: options.base.trim_end_matches('/').to_owned(),
            timeout: options.timeout,
            agent,
        }
    }

    fn url(&self, path: &Path) -> String {
        format!("{}/objects/{}/{}", self.base, path.kind, path.name)
    }
}

impl Store for Client {
    fn get(&self, path: &Path) -> Result<Option<Object>, Error> {
        let call = self
            .agent
            .get(self.url(path))
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .call();
        let response = answered(path, call)?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => read(path, response).map(Some),
        }
    }

    fn put(&self, path: &Path, value: &Value, condition: Condition) -> Result<Version, Error> {
        let request = self
            .agent
            .put(self.url(path))
            .config()
            .timeout_global(Some(self.timeout))
            .build();
        let request = match condition {
            Condition::Absent => request.header("If-None-Match", "*"),
            Condition::Version(version) => request.header("If-Match", version.to_string()),
            Condition::Always => request,
        };
        let response = answered(path, request.send_json(value))?;
        read::<Written>(path, response).map(|written| written.version)
    }

    fn delete(&self, path: &Path, condition: Condition) -> Result<(), Error> {
        let request = self
            .agent
            .delete(self.url(path))
            .config()
            .timeout_global(Some(self.timeout))
            .build();
        let request = match condition {
            Condition::Version(version) => request.header("If-Match", version.to_string()),
            Condition::Absent | Condition::Always => request,
        };
        let response = answered(path, request.call())?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(()),
            _ => read::<Value>(path, response).map(|_| ()),
        }
    }

    fn changes(&self, kind: &str, after: Version, wait: Duration) -> Result<Changes, Error> {
        let path = Path::new(kind, "*");
        let url = format!(
            "{}/objects/{kind}?after={after}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let call = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(self.timeout + wait))
            .build()
            .call();
        read(&path, answered(&path, call)?)
    }
}

fn answered(
    path: &Path,
    call: Result<Response<Body>, ureq::Error>,
) -> Result<Response<Body>, Error> {
    let unanswered = |detail| Error::Unanswered {
        path: path.clone(),
        detail,
    };
    let response = call.map_err(|error| unanswered(error.to_string()))?;
    head::check(response.status(), response.headers())
        .map_err(|fault| unanswered(fault.to_string()))?;
    Ok(response)
}

fn read<T: serde::de::DeserializeOwned>(
    path: &Path,
    mut response: Response<Body>,
) -> Result<T, Error> {
    let status = response.status();
    if status.is_success() {
        return response
            .body_mut()
            .with_config()
            .limit(ANSWER_LIMIT)
            .read_json()
            .map_err(|error| Error::Unanswered {
                path: path.clone(),
                detail: error.to_string(),
            });
    }
    if status == StatusCode::PRECONDITION_FAILED {
        let current = response.body_mut().read_json().ok().map(Box::new);
        return Err(Error::Conflict {
            path: path.clone(),
            current,
        });
    }
    let detail = status.to_string();
    let path = path.clone();
    if status.is_server_error() {
        return Err(Error::Unanswered { path, detail });
    }
    Err(Error::Refused { path, detail })
}
