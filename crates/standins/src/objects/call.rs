//! Calls of the object API and how they are answered.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_objects::object::{Changes, Condition, Path, Version};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri, http};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::fault::{Anomaly, Faults, Loss, Outage};
use super::store::{Refusal, Store};
use crate::sync::lock;
use crate::web::{self, Lost, refusal};

/// The largest value, in bytes of JSON.
const VALUE_LIMIT: usize = 1 << 20;

type Reply = Response<Full<Bytes>>;

/// What the handlers of all calls share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) state: Mutex<State>,
    /// Wakes those that wait for a write or for the end of an outage.
    pub(crate) changed: watch::Sender<()>,
}

/// The objects and the faults.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) faults: Faults,
}

/// The object or the kind that a call is about.
enum Target {
    Kind(String),
    Object(Path),
}

/// Answers one call.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Lost> {
    let Some(target) = target(request.uri()) else {
        return Ok(refusal(StatusCode::NOT_FOUND, "no such path"));
    };
    let (head, body) = request.into_parts();
    let body = match web::bytes(body, VALUE_LIMIT).await {
        Ok(body) => body,
        Err(reply) => return Ok(*reply),
    };
    if head.method == Method::GET {
        return shared.call(&target, &head, &body).await;
    }
    // A write is carried out even if its caller goes away meanwhile.
    tokio::spawn(async move { shared.call(&target, &head, &body).await })
        .await
        .unwrap_or(Err(Lost))
}

fn target(uri: &Uri) -> Option<Target> {
    let mut parts = uri.path().strip_prefix("/objects/")?.splitn(2, '/');
    let kind = parts.next().filter(|kind| !kind.is_empty())?.to_owned();
    Some(match parts.next() {
        None => Target::Kind(kind),
        Some(name) => Target::Object(Path::new(kind, name)),
    })
}

impl Shared {
    async fn call(
        &self,
        target: &Target,
        head: &http::request::Parts,
        body: &Bytes,
    ) -> Result<Reply, Lost> {
        let kind = match target {
            Target::Kind(kind) => kind,
            Target::Object(path) => &path.kind,
        };
        if let Err(reply) = self.admit(head.method.as_str(), kind).await {
            return Ok(*reply);
        }
        match (target, &head.method) {
            (Target::Kind(kind), &Method::GET) => Ok(self.changes(kind, &head.uri).await),
            (Target::Object(path), &Method::GET) => Ok(self.get(path)),
            (Target::Object(path), &Method::PUT) => self.put(path, head, body),
            (Target::Object(path), &Method::DELETE) => self.delete(path, head),
            _ => Ok(refusal(StatusCode::METHOD_NOT_ALLOWED, "no such method")),
        }
    }

    async fn admit(&self, method: &str, kind: &str) -> Result<(), Box<Reply>> {
        let delay = {
            let faults = &mut lock(&self.state).faults;
            if !faults.admit(method, kind, clock::now()) {
                let detail = "too many calls";
                return Err(Box::new(refusal(StatusCode::TOO_MANY_REQUESTS, detail)));
            }
            faults.delay
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.up().await
    }

    /// Waits while calls hang, and refuses while the platform is down.
    async fn up(&self) -> Result<(), Box<Reply>> {
        let mut changed = self.changed.subscribe();
        loop {
            let outage = lock(&self.state).faults.outage;
            match outage {
                Outage::None => return Ok(()),
                Outage::Unavailable | Outage::Refuse => return Err(Box::new(unavailable())),
                Outage::Hang => drop(changed.changed().await),
            }
        }
    }

    fn get(&self, path: &Path) -> Reply {
        match lock(&self.state).store.get(path) {
            Some(object) => web::json(StatusCode::OK, &object),
            None => refusal(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn put(&self, path: &Path, head: &http::request::Parts, body: &[u8]) -> Result<Reply, Lost> {
        let parsed = web::parse::<Value, _>(body).and_then(|value| Ok((value, condition(head)?)));
        match parsed {
            Ok((value, condition)) => self.write(|store| store.put(path, value, condition)),
            Err(reply) => Ok(*reply),
        }
    }

    fn delete(&self, path: &Path, head: &http::request::Parts) -> Result<Reply, Lost> {
        match condition(head) {
            Ok(condition) => self.write(|store| store.delete(path, condition)),
            Err(reply) => Ok(*reply),
        }
    }

    fn write(
        &self,
        write: impl FnOnce(&mut Store) -> Result<Version, Refusal>,
    ) -> Result<Reply, Lost> {
        let mut state = lock(&self.state);
        let result = write(&mut state.store);
        let loss = state.faults.next_loss();
        drop(state);
        self.changed.send_replace(());
        match loss {
            Some(Loss::Error) => {
                return Ok(refusal(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "the reply was lost",
                ));
            }
            Some(Loss::Drop) => return Err(Lost),
            None => {}
        }
        Ok(match result {
            Ok(version) => web::json(StatusCode::OK, &json!({ "version": version })),
            Err(Refusal::Condition(standing)) => {
                web::json(StatusCode::PRECONDITION_FAILED, &standing)
            }
            Err(Refusal::Missing) => refusal(StatusCode::NOT_FOUND, "no such object"),
        })
    }

    async fn changes(&self, kind: &str, uri: &Uri) -> Reply {
        let after = Version(number(uri, "after"));
        let wait = Duration::from_millis(number(uri, "wait_ms"));
        let anomaly = match after {
            Version(0) => None,
            _ => lock(&self.state).faults.next_anomaly(),
        };
        if anomaly == Some(Anomaly::Repeat) {
            let former = lock(&self.state).store.former(kind);
            if let Some(changes) = former {
                return web::json(StatusCode::OK, &changes);
            }
        }
        let needed = if anomaly == Some(Anomaly::Skip) { 2 } else { 1 };
        let mut watch = Watch::new(kind, after, needed);
        let mut changed = self.changed.subscribe();
        let waited = tokio::time::timeout(wait, async {
            while !watch.is_due(&lock(&self.state)) {
                drop(changed.changed().await);
            }
        });
        let due = waited.await.is_ok();
        if let Err(reply) = self.up().await {
            return *reply;
        }
        web::json(StatusCode::OK, &watch.changes(due, &lock(&self.state)))
    }
}

/// A watch and the number of changes that it has seen.
struct Watch<'a> {
    kind: &'a str,
    after: Version,
    needed: usize,
    seen: usize,
    last: Version,
}

impl<'a> Watch<'a> {
    const fn new(kind: &'a str, after: Version, needed: usize) -> Self {
        Self {
            kind,
            after,
            needed,
            seen: 0,
            last: after,
        }
    }

    /// Takes note of a change and tells whether the watch is to be answered.
    fn is_due(&mut self, state: &State) -> bool {
        if state.store.has_changed(self.kind, self.last) {
            self.seen += 1;
            self.last = state.store.version();
        }
        let down = state.faults.outage == Outage::Unavailable;
        down || self.after == Version(0) || self.seen >= self.needed
    }

    fn changes(&self, due: bool, state: &State) -> Changes {
        if due || !state.store.has_changed(self.kind, self.after) {
            return state.store.changes(self.kind, self.after);
        }
        Changes {
            version: self.after,
            objects: Vec::new(),
            removed: Vec::new(),
        }
    }
}

fn unavailable() -> Reply {
    refusal(StatusCode::SERVICE_UNAVAILABLE, "out of service")
}

fn number(uri: &Uri, name: &str) -> u64 {
    web::query(uri, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn condition(head: &http::request::Parts) -> Result<Condition, Box<Reply>> {
    if web::header(&head.headers, "if-none-match") == Some("*") {
        return Ok(Condition::Absent);
    }
    let Some(text) = web::header(&head.headers, "if-match") else {
        return Ok(Condition::Always);
    };
    text.trim_matches('"')
        .parse()
        .map(|version| Condition::Version(Version(version)))
        .map_err(|_| {
            let detail = "If-Match is not a version";
            Box::new(refusal(StatusCode::BAD_REQUEST, detail))
        })
}
