//! An in-memory store that loses and delays calls, and edits to submit to it.
#![allow(
    dead_code,
    reason = "each test file uses only some of the shared helpers"
)]

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::number::Revision;
use cactusnotch_objects::Store;
use cactusnotch_objects::object::{Changes, Condition, Object, Path, Version};
use cactusnotch_objects::store::Error;
use cactusnotch_settings::{Edit, Key, Kind, Operation, Value};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value as Json;

/// The fault of the next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call is answered.
    None,
    /// The call does not reach the store.
    Before,
    /// The call takes effect, but the answer is lost.
    After,
    /// The caller gives up the call, which arrives later if it is a write.
    Late,
    /// The call is refused without effect.
    Refused,
}

#[derive(Debug, Clone, Default)]
struct State {
    objects: Table<Path, Object>,
    version: u64,
    late: Vec<(Path, Option<Json>, Condition)>,
    calls: u64,
}

/// An in-memory store.
#[derive(Debug, Clone)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    fault: Arc<Mutex<Fault>>,
}

impl Memory {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            fault: Arc::new(Mutex::new(Fault::None)),
        }
    }

    /// Returns an independent store with the same contents.
    pub fn fork(&self) -> Self {
        Self {
            state: Arc::new(Mutex::new(self.state().clone())),
            fault: Arc::new(Mutex::new(Fault::None)),
        }
    }

    pub fn fail_next(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Delivers a delayed write.
    pub fn deliver(&self, at: usize) {
        let mut state = self.state();
        if !state.late.is_empty() {
            let at = at % state.late.len();
            let (path, value, condition) = state.late.remove(at);
            let _ = state.write(&path, value, condition);
        }
    }

    pub fn late(&self) -> usize {
        self.state().late.len()
    }

    pub fn count(&self, kind: &str) -> usize {
        self.state()
            .objects
            .keys()
            .filter(|p| p.kind == kind)
            .count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_fault(&self) -> Fault {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut fault, Fault::None)
    }

    fn call<T>(
        &self,
        path: &Path,
        late: Option<(Option<Json>, Condition)>,
        effect: impl FnOnce(&mut State) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let mut state = self.state();
        state.calls += 1;
        let unanswered = Error::Unanswered {
            path: path.clone(),
            detail: "lost".to_owned(),
        };
        match self.take_fault() {
            Fault::None => effect(&mut state),
            Fault::Before => Err(unanswered),
            Fault::After => {
                let _ = effect(&mut state);
                Err(unanswered)
            }
            Fault::Late => {
                if let Some((value, condition)) = late {
                    state.late.push((path.clone(), value, condition));
                }
                Err(unanswered)
            }
            Fault::Refused => Err(Error::Refused {
                path: path.clone(),
                detail: "429".to_owned(),
            }),
        }
    }
}

impl State {
    fn write(
        &mut self,
        path: &Path,
        value: Option<Json>,
        condition: Condition,
    ) -> Result<Version, Error> {
        let current = self.objects.get(path);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.is_some_and(|o| o.version == version),
            Condition::Always => true,
        };
        if !holds {
            return Err(Error::Conflict {
                path: path.clone(),
                current: current.cloned().map(Box::new),
            });
        }
        self.version += 1;
        let version = Version(self.version);
        match value {
            Some(value) => {
                let path = path.clone();
                let object = Object {
                    path: path.clone(),
                    version,
                    value,
                };
                self.objects.insert(path, object);
            }
            None => {
                self.objects.remove(path);
            }
        }
        Ok(version)
    }
}

impl Store for Memory {
    fn get(&self, path: &Path) -> Result<Option<Object>, Error> {
        self.call(path, None, |state| Ok(state.objects.get(path).cloned()))
    }

    fn put(&self, path: &Path, value: &Json, condition: Condition) -> Result<Version, Error> {
        let late = Some((Some(value.clone()), condition));
        self.call(path, late, |state| {
            state.write(path, Some(value.clone()), condition)
        })
    }

    fn delete(&self, path: &Path, condition: Condition) -> Result<(), Error> {
        self.call(path, Some((None, condition)), |state| {
            state.write(path, None, condition).map(|_| ())
        })
    }

    fn changes(&self, kind: &str, after: Version, _wait: Duration) -> Result<Changes, Error> {
        self.call(&Path::new(kind, "*"), None, |state| {
            let objects = state.objects.values();
            Ok(Changes {
                version: Version(state.version),
                objects: objects
                    .filter(|o| o.path.kind == kind && o.version > after)
                    .cloned()
                    .collect(),
                removed: Vec::new(),
            })
        })
    }
}

pub fn create(node: &str, parent: &str, kind: Kind) -> Operation {
    Operation::Create {
        node: node.into(),
        parent: parent.into(),
        kind,
        name: node.to_owned(),
    }
}

pub fn set(node: &str, key: Key, value: u64) -> Operation {
    Operation::Set {
        node: node.into(),
        key,
        value: Value::Integer(value),
    }
}

pub fn relocate(node: &str, parent: &str) -> Operation {
    Operation::Move {
        node: node.into(),
        parent: parent.into(),
    }
}

pub fn delete(node: &str) -> Operation {
    Operation::Delete { node: node.into() }
}

pub fn edit(author: &str, base: Revision, operations: Vec<Operation>) -> Edit {
    Edit::new(author, "test", base, operations)
}

/// Returns the edit that creates the tree changed by the tests.
pub fn layout() -> Edit {
    let operations = vec![
        create("a", "root", Kind::Policy),
        create("b", "root", Kind::Policy),
        create("o", "a", Kind::Organisation),
        set("a", Key::ConcurrencyLimit, 10),
    ];
    edit("setup", Revision(0), operations)
}

/// Returns an operation that is often, but not always, valid after [`layout`].
/// Two of them together may violate a rule that neither violates alone.
pub fn random_operation(rng: &mut StdRng) -> Operation {
    let policy = ["a", "b", "c"][rng.random_range(0..3)];
    let other = ["a", "b", "root"][rng.random_range(0..3)];
    let organisation = ["o", "p"][rng.random_range(0..2)];
    match rng.random_range(0..10) {
        0 => create("c", other, Kind::Policy),
        1 => create("p", policy, Kind::Organisation),
        2 | 3 => relocate(policy, other),
        4 => relocate(organisation, policy),
        5 => delete(policy),
        6 => delete(organisation),
        7 => set(policy, Key::ConcurrencyLimit, rng.random_range(0..12)),
        8 => set(organisation, Key::ConcurrencyFloor, rng.random_range(0..12)),
        _ => set("root", Key::Priority, rng.random_range(0..10)),
    }
}

pub fn seeded(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
