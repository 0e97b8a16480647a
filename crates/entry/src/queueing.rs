//! Queue limits and priorities derived from the settings.

use cactusnotch_admit::Priority;
use cactusnotch_route::Service;
use cactusnotch_settings::Resolved;

/// The range of priority values that map to [`Priority::Normal`].
const NORMAL: std::ops::RangeInclusive<u64> = 3..=6;

/// Returns the longest queue of a service, in requests.
pub(crate) fn queue_bound(settings: &Resolved, service: &Service) -> usize {
    let Service::Model(model) = service else {
        return cactusnotch_admit::Options::default().queue_max;
    };
    let groups = settings.groups().values();
    let serving = groups.filter(|group| group.model == model.as_str());
    let bounds = serving.map(|group| group.queue_bound);
    let bound = bounds.max().unwrap_or_default();
    usize::try_from(bound).unwrap_or(usize::MAX)
}

/// Maps a priority value of the settings to a [`Priority`].
pub(crate) const fn priority(value: u64) -> Priority {
    if value > *NORMAL.end() {
        Priority::High
    } else if value < *NORMAL.start() {
        Priority::Low
    } else {
        Priority::Normal
    }
}
