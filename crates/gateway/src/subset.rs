//! The subset of a large service's endpoints that an entry uses.
//!
//! If all endpoints sent their loads to all entries, the traffic would grow with both: 149
//! entries and 192 endpoints exchange 114,000 datagrams per second, which is most of the
//! traffic between data centres. An entry needs the loads only of the endpoints that it
//! chooses from. For services with more than [`ALL_MAX`] endpoints it therefore uses a
//! subset, balanced over the entries. The number of datagrams that an entry receives then
//! does not depend on the number of endpoints, and the number that an agent sends grows
//! only with the ratio of entries to endpoints.

use cactusnotch_route::subset;

/// Size of the largest service of which every entry uses all endpoints. With 46 entries
/// and 64 endpoints, an entry receives 256 datagrams per second.
pub const ALL_MAX: usize = 64;
/// Number of endpoints that an entry uses of a larger service: enough for three distinct
/// draws, and for some to remain if a group of ranks breaks. An entry has about six
/// requests in progress at once.
pub const SUBSET: usize = 32;

/// Returns the indexes of the endpoints that the entry `me` of `entries` uses, or `None`
/// if it uses all.
#[must_use]
pub fn used(me: &str, entries: &[&str], endpoints: &[&str]) -> Option<Vec<usize>> {
    (endpoints.len() > ALL_MAX).then(|| subset::of(me, entries, endpoints, SUBSET))
}

/// Returns how many of `entries` use each of `endpoints`.
#[must_use]
pub fn sharers(entries: u32, endpoints: usize) -> u32 {
    if endpoints <= ALL_MAX {
        return entries;
    }
    let number = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let links = u64::from(entries).saturating_mul(number(SUBSET));
    u32::try_from(links.div_ceil(number(endpoints))).unwrap_or(u32::MAX)
}
