//! A stand-in of the platform's store: objects by kind and name, listings and watches.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Head, query, read_body, read_head};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    /// Its `Spec` as JSON.
    spec: String,
}

impl Object {
    fn shown(&self) -> String {
        format!(
            r#"{{"Metadata":{{"Name":"{}","Revision":{},"Created":{},"Finalizers":[],"DeletionPending":false}},"Spec":{},"Status":null}}"#,
            self.name, self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    history: Vec<(u64, Object, bool)>,
}

/// A stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("it is bound");
        let store = Self {
            address,
            state: Arc::default(),
        };
        let own = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object; its revision is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let is_same = |known: &Object| known.kind == kind && known.name == name;
        let created = state
            .objects
            .iter()
            .find(|known| is_same(known))
            .map_or(revision, |known| known.created);
        state.objects.retain(|known| !is_same(known));
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision,
            created,
            spec: spec.to_owned(),
        };
        state.objects.push(object.clone());
        state.objects.sort_by(|a, b| a.name.cmp(&b.name));
        state.history.push((revision, object, false));
        drop(state);
        self.state.1.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let at = state
            .objects
            .iter()
            .position(|known| known.kind == kind && known.name == name);
        if let Some(at) = at {
            state.revision += 1;
            let (revision, object) = (state.revision, state.objects.remove(at));
            state.history.push((revision, object, true));
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (method, target) = head.request();
        let path = target.split('?').next().unwrap_or_default();
        let Some(path) = path.strip_prefix("/cactusnotch/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = path
            .split_once('/')
            .map_or((path, None), |(kind, name)| (kind, Some(name)));
        match (method, name) {
            ("GET", None) => match query(target, "Watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = query(target, "WaitMs")
                        .and_then(|wait| wait.parse().ok())
                        .unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                None => self.list(kind),
            },
            ("POST", None) => {
                let Some((name, spec)) = name_and_spec(body) else {
                    return (400, "{}".to_owned());
                };
                let is_known = self
                    .lock()
                    .objects
                    .iter()
                    .any(|known| known.kind == kind && known.name == name);
                if is_known {
                    return (409, "{}".to_owned());
                }
                self.put(kind, &name, &spec);
                (201, body.to_owned())
            }
            ("PUT", Some(name)) => {
                let Some((_, spec)) = name_and_spec(body) else {
                    return (400, "{}".to_owned());
                };
                self.put(kind, name, &spec);
                (200, body.to_owned())
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.lock();
        let entries: Vec<_> = state
            .objects
            .iter()
            .filter(|object| object.kind == kind)
            .map(Object::shown)
            .collect();
        (
            200,
            format!(
                r#"{{"Entries":[{}],"HasMore":false,"At":{}}}"#,
                entries.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if from > state.revision {
                return (410, "{}".to_owned());
            }
            let new = state
                .history
                .iter()
                .filter(|(revision, object, _)| *revision > from && object.kind == kind);
            let events: Vec<_> = new
                .map(|(_, object, gone)| {
                    format!(r#"{{"Object":{},"Deleted":{gone}}}"#, object.shown())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        r#"{{"events":[{}],"At":{}}}"#,
                        events.join(","),
                        state.revision
                    ),
                );
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// Returns the name and the `Spec` of an object that the system writes, whose last field is the `Spec`.
fn name_and_spec(body: &str) -> Option<(String, String)> {
    let (_, after) = body.split_once(r#""Name":""#)?;
    let (name, _) = after.split_once('"')?;
    let (_, spec) = body.split_once(r#""Spec":"#)?;
    Some((
        name.to_owned(),
        spec.trim_end().strip_suffix('}')?.to_owned(),
    ))
}
