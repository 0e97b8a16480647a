//! A stand-in of the platform's store: objects by kind, listings and watches.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    created: u64,
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    /// Each change with whether the object is gone with it.
    history: Vec<(Object, bool)>,
}

/// A stand-in of the platform's store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        let own = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(|state| {
            state.revision += 1;
            let revision = state.revision;
            let same = |known: &Object| known.kind == kind && known.name == name;
            let known = state.objects.iter().find(|known| same(known));
            if known.is_some_and(|known| known.spec == spec) {
                state.revision -= 1;
                return;
            }
            let object = Object {
                kind: kind.to_owned(),
                name: name.to_owned(),
                created: known.map_or(revision, |known| known.created),
                revision,
                spec: spec.to_owned(),
            };
            state.objects.retain(|known| !same(known));
            state.objects.push(object.clone());
            state.history.push((object, false));
        });
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.change(|state| {
            let same = |known: &Object| known.kind == kind && known.name == name;
            let Some(at) = state.objects.iter().position(same) else {
                return;
            };
            state.revision += 1;
            let mut object = state.objects.remove(at);
            object.revision = state.revision;
            state.history.push((object, true));
        });
    }

    fn change(&self, act: impl FnOnce(&mut State)) {
        let (state, changed) = &*self.state;
        act(&mut state.lock().expect("no thread panics with it"));
        changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.start[1].as_str();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/cactusnotch/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let spec = body
            .split_once("\"Spec\":")
            .and_then(|(_, spec)| spec.strip_suffix('}'));
        match (request.start[0].as_str(), name) {
            ("GET", None) => self.read(kind, query),
            ("POST", None) => {
                let named = body.split_once("\"Name\":\"").map(|(_, rest)| rest);
                let name = named
                    .and_then(|rest| rest.split('"').next())
                    .unwrap_or_default();
                let known = self.has(kind, name);
                if !known {
                    self.put(kind, name, spec.unwrap_or("{}"));
                }
                (if known { 409 } else { 201 }, "{}".to_owned())
            }
            ("PUT", Some(name)) => {
                self.put(kind, name, spec.unwrap_or("{}"));
                (200, "{}".to_owned())
            }
            ("DELETE", Some(name)) => {
                let known = self.has(kind, name);
                self.delete(kind, name);
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        let state = self.state.0.lock().expect("no thread panics with it");
        state
            .objects
            .iter()
            .any(|known| known.kind == kind && known.name == name)
    }

    fn read(&self, kind: &str, query: &str) -> (u16, String) {
        let field = |wanted: &str| -> Option<u64> {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(name, _)| *name == wanted)?.1.parse().ok()
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics with it");
        let Some(from) = field("Watch") else {
            let own = state.objects.iter().filter(|object| object.kind == kind);
            let entries: Vec<_> = own.map(shown).collect();
            let page = format!(
                "{{\"Entries\":[{}],\"HasMore\":false,\"At\":{}}}",
                entries.join(","),
                state.revision
            );
            return (200, page);
        };
        let until = Instant::now() + Duration::from_millis(field("WaitMs").unwrap_or(0));
        loop {
            if from > state.revision {
                return (410, "{}".to_owned());
            }
            let new = state.history.iter();
            let new = new.filter(|(object, _)| object.revision > from && object.kind == kind);
            let events: Vec<_> = new
                .map(|(object, gone)| {
                    format!("{{\"Deleted\":{gone},\"Object\":{}}}", shown(object))
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"At\":{at}}}", events.join(",")),
                );
            }
            state = changed
                .wait_timeout(state, left)
                .expect("no thread panics with it")
                .0;
        }
    }
}

fn shown(object: &Object) -> String {
    let Object {
        name,
        revision,
        created,
        spec,
        ..
    } = object;
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":{created},\"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}
