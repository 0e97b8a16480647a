//! Extracts the inputs of the quota exchange from a view.

use cactusnotch_admit::quota::{self, Cap, Unit};
use cactusnotch_base::Table;
use cactusnotch_base::name::{Organisation, Process};
use cactusnotch_member::Role;
use cactusnotch_node::View;
use cactusnotch_settings::{Key, resolved};

/// Returns the entries on the roster.
pub(crate) fn entries(view: &View) -> Vec<Process> {
    let entries = view.roster.iter().filter(|row| row.role == Role::Entry);
    entries.map(|row| row.process.clone()).collect()
}

/// Returns all declared caps.
pub(crate) fn all(view: &View) -> Table<quota::Key, Cap> {
    let organisations = view.settings.organisations().iter();
    organisations
        .flat_map(|(name, values)| caps(&Organisation::new(name.as_str()), values))
        .collect()
}

/// Returns the caps of an organisation whose limits differ from the defaults.
fn caps(name: &Organisation, values: &resolved::Organisation) -> Vec<(quota::Key, Cap)> {
    let limits = [
        (
            Unit::Concurrency,
            Key::ConcurrencyLimit,
            values.concurrency_limit,
        ),
        (Unit::Rate, Key::RequestRateLimit, values.request_rate_limit),
    ];
    limits
        .into_iter()
        .filter(|(_, key, limit)| key.default_value().as_integer() != Some(*limit))
        .map(|(unit, _, limit)| {
            let organisation = name.clone();
            let cap = Cap::try_from(limit).unwrap_or(Cap::MAX);
            (quota::Key { organisation, unit }, cap)
        })
        .collect()
}
