//! Which endpoints of a large service an entry uses.
//!
//! Loads of all endpoints told to all entries grow with both: at 149 entries before 192
//! endpoints they are 114,000 datagrams a second, and most of what crosses between data
//! centres. An entry needs the loads of the few among which it chooses, so that beyond
//! [`ALL_MAX`] endpoints it uses a subset, balanced over the entries: what an entry hears
//! stays the same however many endpoints there are, and what an agent tells grows with
//! entries for each endpoint alone.

use cactusnotch_route::subset;

/// The largest service of which every entry uses all endpoints. With 46 entries and 64
/// endpoints that costs an entry 256 datagrams a second.
pub const ALL_MAX: usize = 64;
/// The endpoints that an entry uses of a larger one: enough that three drawn ones differ
/// and that some are left if a group of ranks breaks; an entry has about six requests at
/// work at once.
pub const SUBSET: usize = 32;

/// Returns the positions of the endpoints that the entry `me` of `entries` uses, or `None`
/// if it uses all.
#[must_use]
pub fn used(me: &str, entries: &[&str], endpoints: &[&str]) -> Option<Vec<usize>> {
    (endpoints.len() > ALL_MAX).then(|| subset::of(me, entries, endpoints, SUBSET))
}

/// Returns how many of `entries` use one of `endpoints`.
#[must_use]
pub fn sharers(entries: u32, endpoints: usize) -> u32 {
    if endpoints <= ALL_MAX {
        return entries;
    }
    let number = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let links = u64::from(entries).saturating_mul(number(SUBSET));
    u32::try_from(links.div_ceil(number(endpoints))).unwrap_or(u32::MAX)
}
