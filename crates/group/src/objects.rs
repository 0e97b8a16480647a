//! The group's objects in the platform.

use cactusnotch_base::name::Group;
use cactusnotch_base::number::{Epoch, Step};
use cactusnotch_objects::http::Client;
use cactusnotch_objects::object::{Condition, Path, Version};
use cactusnotch_objects::store::{Error, Store};
use cactusnotch_placement::Map as Content;
use cactusnotch_switch::{Lease, Map, Switch, View};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The kind of the objects that store groups.
const GROUP: &str = "group";

/// The kind of the objects that store the contents of maps.
const MAP: &str = "expert-map";

/// The kind of the objects that store leases.
const LEASE: &str = "lease";

/// The result of a read.
#[derive(Debug, Clone)]
pub(crate) enum Found<T> {
    /// The object, at its version.
    Object(Version, T),
    /// There is no such object.
    Absent,
}

impl<T> Found<T> {
    /// Returns the object, if there is one.
    pub(crate) fn object(self) -> Option<(Version, T)> {
        match self {
            Self::Object(version, value) => Some((version, value)),
            Self::Absent => None,
        }
    }
}

/// The group's objects in the platform. Its calls block, and return `None` or
/// `false` if the platform does not answer.
#[derive(Debug, Clone)]
pub(crate) struct Objects {
    store: Client,
    group: Group,
    size: u16,
    /// The initial map of a new group.
    first: Content,
}

impl Objects {
    pub(crate) const fn new(store: Client, group: Group, size: u16, first: Content) -> Self {
        Self {
            store,
            group,
            size,
            first,
        }
    }

    /// Reads the group's object, and creates it if there is none.
    pub(crate) fn read_group(&self) -> Option<(Version, View)> {
        let path = self.group_path();
        if let Found::Object(version, view) = self.read(&path)? {
            return Some((version, view));
        }
        let base = Switch {
            map: Map {
                epoch: Epoch(1),
                digest: self.first.digest(),
            },
            from: Step(0),
        };
        if !self.record(base.map, &self.first) {
            return None;
        }
        let view = View::new(self.size, base);
        self.write(&path, &view, Condition::Absent);
        self.read(&path)?.object()
    }

    /// Writes the group's object if it is at `version`, and reads it back.
    pub(crate) fn write_group(&self, version: Version, view: &View) -> Option<(Version, View)> {
        let path = self.group_path();
        self.write(&path, view, Condition::Version(version));
        self.read(&path)?.object()
    }

    /// Reads the coordinator's lease.
    pub(crate) fn read_lease(&self) -> Option<Found<Lease>> {
        self.read(&self.lease_path())
    }

    /// Writes the lease if it is at `version`, and reads it back.
    pub(crate) fn write_lease(
        &self,
        version: Option<Version>,
        lease: &Lease,
    ) -> Option<Found<Lease>> {
        let condition = version.map_or(Condition::Absent, Condition::Version);
        let path = self.lease_path();
        self.write(&path, lease, condition);
        self.read(&path)
    }

    /// Reads the content of a map.
    pub(crate) fn read_map(&self, map: Map) -> Option<Content> {
        let (_, content): (Version, Content) = self.read(&self.map_path(map))?.object()?;
        (content.digest() == map.digest).then_some(content)
    }

    /// Writes the content of a map. The object's name contains the content's
    /// digest: a map that already exists has the same content.
    pub(crate) fn record(&self, map: Map, content: &Content) -> bool {
        self.write(&self.map_path(map), content, Condition::Absent) || self.read_map(map).is_some()
    }

    fn group_path(&self) -> Path {
        Path::new(GROUP, self.group.as_str())
    }

    fn lease_path(&self) -> Path {
        Path::new(LEASE, format!("group-{}", self.group))
    }

    fn map_path(&self, map: Map) -> Path {
        let name = format!("{}-{}-{:016x}", self.group, map.epoch, map.digest);
        Path::new(MAP, name)
    }

    fn read<T: DeserializeOwned>(&self, path: &Path) -> Option<Found<T>> {
        let object = match self.store.get(path) {
            Ok(Some(object)) => object,
            Ok(None) => return Some(Found::Absent),
            Err(error) => {
                tracing::debug!(%error, "group's object could not be read");
                return None;
            }
        };
        match serde_json::from_value(object.value) {
            Ok(value) => Some(Found::Object(object.version, value)),
            Err(error) => {
                tracing::error!(%error, %path, "group's object could not be decoded");
                None
            }
        }
    }

    /// Writes an object and returns whether this is confirmed. Otherwise a read
    /// shows the effect.
    fn write<T: Serialize>(&self, path: &Path, value: &T, condition: Condition) -> bool {
        let Ok(value) = serde_json::to_value(value) else {
            return false;
        };
        match self.store.put(path, &value, condition) {
            Ok(_) => true,
            Err(Error::Conflict { .. }) => false,
            Err(error) => {
                tracing::debug!(%error, "write of the group's object not confirmed");
                false
            }
        }
    }
}
