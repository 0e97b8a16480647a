//! Following the settings and the roster in the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cactusnotch_base::name::{Endpoint, Process};
use cactusnotch_base::{Clock, Table};
use cactusnotch_history::{Reader, Replica};
use cactusnotch_member::Record;
use cactusnotch_platform::http::Client;
use cactusnotch_platform::object::Version;
use cactusnotch_platform::store::{Error, Store};
use tokio::runtime::Handle;

use crate::shared::Shared;

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(10);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the settings until `stop` is set. Blocks its thread.
pub(crate) fn settings<C: Clock>(shared: &Arc<Shared<C>>, runtime: &Handle, stop: &AtomicBool) {
    let store = Client::new(&shared.options.platform);
    let mut reader = Reader::new(store, Replica::new());
    while !stop.load(Ordering::Relaxed) {
        let before = reader.replica().revision();
        match reader.watch(WATCH) {
            Ok(_) if reader.replica().revision() == before => {}
            Ok(_) => {
                shared.control.apply(reader.replica());
                tracing::info!(revision = %reader.replica().revision(), "settings in force here");
                refresh(shared, runtime);
            }
            Err(error) => {
                tracing::warn!(%error, "settings not read");
                std::thread::sleep(PAUSE);
            }
        }
    }
}

/// Follows the roster until `stop` is set. Blocks its thread.
pub(crate) fn roster<C: Clock>(shared: &Arc<Shared<C>>, runtime: &Handle, stop: &AtomicBool) {
    let store = Client::new(&shared.options.platform);
    let mut roster = Table::new();
    let mut version = Version(0);
    while !stop.load(Ordering::Relaxed) {
        match take(&store, &mut roster, &mut version) {
            Ok(false) => {}
            Ok(true) => {
                shared.control.set_roster(roster.clone());
                refresh(shared, runtime);
            }
            Err(error) => {
                tracing::warn!(%error, "roster not read");
                std::thread::sleep(PAUSE);
            }
        }
    }
}

fn take(
    store: &Client,
    roster: &mut Table<Process, Record>,
    version: &mut Version,
) -> Result<bool, Error> {
    let changes = store.changes(Record::KIND, *version, WATCH)?;
    *version = changes.version;
    for name in &changes.removed {
        roster.remove(&Process::new(name.as_str()));
    }
    let is_changed = !changes.objects.is_empty() || !changes.removed.is_empty();
    for object in changes.objects {
        match serde_json::from_value::<Record>(object.value) {
            Ok(record) => {
                roster.insert(record.process.clone(), record);
            }
            Err(error) => tracing::warn!(%error, path = %object.path, "member not understood"),
        }
    }
    Ok(is_changed)
}

/// Brings the routing table and the links in line with settings and roster.
fn refresh<C: Clock>(shared: &Arc<Shared<C>>, runtime: &Handle) {
    let _guard = runtime.enter();
    shared.router().set_members(&shared.control.members());
    let wanted: Table<Endpoint, String> = shared
        .control
        .agents()
        .iter()
        .map(|(endpoint, address)| (endpoint.clone(), address.to_string()))
        .collect();
    shared.agents.set(&wanted, shared);
}
