//! Calls of the object API and how they are answered.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use cactusnotch_platform::object::{Changes, Condition, Path, Version};
use rouille::{Request, Response};
use serde_json::{Value, json};

use super::fault::{Anomaly, Faults, Loss, Outage};
use super::store::{Refusal, Store};
use crate::http::{self, Unusable, refusal};
use crate::sync::lock;

/// The largest value, in bytes of JSON.
pub(crate) const VALUE_LIMIT: u64 = 1 << 20;

/// What the handlers of all calls share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) state: Mutex<State>,
    pub(crate) changed: Condvar,
}

/// The objects, the faults and whether the platform is stopping.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) faults: Faults,
    pub(crate) stopped: bool,
}

impl Shared {
    /// Answers one call.
    pub(crate) fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        let mut parts = url.trim_start_matches('/').split('/');
        if parts.next() != Some("objects") {
            return refusal(404, "no such path");
        }
        let Some(kind) = parts.next().filter(|kind| !kind.is_empty()) else {
            return refusal(404, "the path names no kind");
        };
        if let Err(response) = self.admit(request.method(), kind) {
            return response;
        }
        match parts.next() {
            None => self.changes(request, kind),
            Some(name) => self.object(request, &Path::new(kind, name)),
        }
    }

    fn admit(&self, method: &str, kind: &str) -> Result<(), Response> {
        let mut state = lock(&self.state);
        if !state.faults.admit(method, kind, Instant::now()) {
            return Err(refusal(429, "too many calls"));
        }
        let delay = state.faults.delay;
        if !delay.is_zero() {
            drop(state);
            thread::sleep(delay);
            state = lock(&self.state);
        }
        while state.faults.outage == Outage::Hang && !state.stopped {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if state.stopped || state.faults.outage == Outage::Unavailable {
            return Err(refusal(503, "out of service"));
        }
        Ok(())
    }

    fn object(&self, request: &Request, path: &Path) -> Response {
        match request.method() {
            "GET" => match lock(&self.state).store.get(path) {
                Some(object) => Response::json(&object),
                None => refusal(404, "no such object"),
            },
            "PUT" => self.put(request, path),
            "DELETE" => match condition(request) {
                Ok(condition) => self.write(|store| store.delete(path, condition)),
                Err(response) => response,
            },
            _ => refusal(405, "no such method"),
        }
    }

    fn put(&self, request: &Request, path: &Path) -> Response {
        let value: Value = match http::body(request, VALUE_LIMIT) {
            Ok(value) => value,
            Err(Unusable(response)) => return response,
        };
        match condition(request) {
            Ok(condition) => self.write(|store| store.put(path, value, condition)),
            Err(response) => response,
        }
    }

    fn write(&self, write: impl FnOnce(&mut Store) -> Result<Version, Refusal>) -> Response {
        let mut state = lock(&self.state);
        let result = write(&mut state.store);
        self.changed.notify_all();
        if !state.faults.lost.is_empty() {
            match state.faults.lost.remove(0) {
                Loss::Error => return refusal(500, "the reply was lost"),
            }
        }
        match result {
            Ok(version) => Response::json(&json!({ "version": version })),
            Err(Refusal::Condition(standing)) => Response::json(&standing).with_status_code(412),
            Err(Refusal::Missing) => refusal(404, "no such object"),
        }
    }

    fn changes(&self, request: &Request, kind: &str) -> Response {
        if request.method() != "GET" {
            return refusal(405, "no such method");
        }
        let after = Version(number(request, "after").unwrap_or(0));
        let wait = Duration::from_millis(number(request, "wait_ms").unwrap_or(0));
        match self.wait(kind, after, wait) {
            Some(changes) => Response::json(&changes),
            None => refusal(503, "out of service"),
        }
    }

    fn wait(&self, kind: &str, after: Version, wait: Duration) -> Option<Changes> {
        let deadline = Instant::now() + wait;
        let mut state = lock(&self.state);
        let mut needed = 1;
        if after > Version(0) && !state.faults.anomalies.is_empty() {
            match state.faults.anomalies.remove(0) {
                Anomaly::Skip => needed = 2,
                Anomaly::Repeat => {
                    if let Some(changes) = state.store.former(kind) {
                        return Some(changes);
                    }
                }
            }
        }
        let (mut seen, mut last) = (0, after);
        loop {
            if state.stopped || state.faults.outage == Outage::Unavailable {
                return None;
            }
            if state.store.changed_count(kind, last) > 0 {
                seen += 1;
                last = state.store.version();
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if after == Version(0) || seen >= needed {
                return Some(state.store.changes(kind, after));
            }
            if left.is_zero() {
                return Some(unchanged(after, needed, &state));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

fn unchanged(after: Version, needed: usize, state: &State) -> Changes {
    let version = if needed > 1 {
        after
    } else {
        state.store.version()
    };
    Changes {
        version,
        objects: Vec::new(),
        removed: Vec::new(),
    }
}

fn number(request: &Request, name: &str) -> Option<u64> {
    request.get_param(name)?.parse().ok()
}

fn condition(request: &Request) -> Result<Condition, Response> {
    if request.header("If-None-Match") == Some("*") {
        return Ok(Condition::Absent);
    }
    match request.header("If-Match") {
        None => Ok(Condition::Always),
        Some(text) => match text.trim_matches('"').parse() {
            Ok(version) => Ok(Condition::Version(Version(version))),
            Err(_) => Err(refusal(400, "If-Match is not a version")),
        },
    }
}
