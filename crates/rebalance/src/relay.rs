//! Distributes messages of rank 0 in a large group, and collects counts, over hosts with
//! narrow links.
//!
//! Sent by rank 0 to each of 95 ranks, the map in force alone is 1.2 MB and the counts of
//! all ranks are 2.5 MB a second, while its link carries 0.75 MB a second. Ranks are
//! therefore split into branches of about the square root of their number, each within a
//! data centre. One rank of a branch, its relay, forwards the messages of rank 0 and adds
//! up the counts of the branch. A relay keeps no essential state: if it fails, rank 0
//! selects another one, and until then sends directly to ranks that have fallen behind.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::state::Place;

/// The largest group in which rank 0 sends to all ranks directly. With 32 ranks a map is in
/// force 0.5 s after a demand shift; a relay adds a message to each phase.
pub const DIRECT_MAX: u16 = 32;
/// The interval at which an unchanged round is sent to relays. It shows ranks that rank 0
/// is responsive and where to send their counts.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a rank uses the relay that it has last seen: two heartbeats may be lost.
pub const RELAY_LIFETIME: Duration = Duration::from_millis(1_700);
/// The interval from begin to begin at which the map in force is sent to ranks that lack
/// it.
pub const MAP_INTERVAL: Duration = Duration::from_millis(600);
/// The fraction of a host's link that sending the map may use; the rest is for rounds,
/// counts and loads.
const LINK_FRACTION: f64 = 0.5;
/// The most that is sent at once, in the time that the link takes for it. A link buffers
/// about a tenth of a second and drops what follows, and the end of a longer burst never
/// arrives.
const BURST_TIME: Duration = Duration::from_millis(32);

/// A rank that has reported to rank 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer<'a> {
    /// The rank.
    pub rank: u16,
    /// The address of its agent.
    pub agent: SocketAddr,
    /// The data centre of its host, empty if unknown.
    pub data_centre: &'a str,
    /// Whether it has reported recently and can therefore relay.
    pub alive: bool,
}

/// A relay with the ranks that it forwards to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The agent that forwards.
    pub relay: SocketAddr,
    /// The agents that it forwards to.
    pub to: Vec<SocketAddr>,
}

/// Returns whether rank 0 uses relays in a group of `size` ranks.
#[must_use]
pub const fn uses_relays(size: u16) -> bool {
    size > DIRECT_MAX
}

/// Splits `peers` of a group of `size` ranks into branches: within data centres, since
/// traffic between them is charged, and no larger than the square root of the size, which
/// gives rank 0 and the relays about as much to send.
#[must_use]
pub fn branches(size: u16, mut peers: Vec<Peer<'_>>) -> Vec<Branch> {
    peers.sort_unstable_by_key(|peer| (peer.data_centre, peer.rank));
    let most = if uses_relays(size) { width(size) } else { 1 };
    let data_centres = peers.chunk_by(|a, b| a.data_centre == b.data_centre);
    data_centres
        .flat_map(|centre| centre.chunks(even_size(centre.len(), most)))
        .map(branch)
        .collect()
}

/// Returns the most ranks of a branch, including its relay.
const fn width(size: u16) -> usize {
    let root = size.isqrt();
    (if root * root < size { root + 1 } else { root }) as usize
}

/// Returns the size of the chunks, of at most `most`, that `count` is split into evenly.
const fn even_size(count: usize, most: usize) -> usize {
    count.div_ceil(count.div_ceil(most))
}

/// Returns a branch of `peers`, relayed by the first that is alive.
fn branch(peers: &[Peer<'_>]) -> Branch {
    let relay = peers.iter().position(|peer| peer.alive).unwrap_or(0);
    let others = peers.iter().enumerate().filter(|&(at, _)| at != relay);
    Branch {
        relay: peers[relay].agent,
        to: others.map(|(_, peer)| peer.agent).collect(),
    }
}

/// The progress of rank 0 in sending the map in force, set by set.
#[derive(Debug)]
pub struct Broadcast {
    /// The bandwidth of the host's link, in bytes per second.
    link: f64,
    /// The set that is sent next; all are sent if it is beyond the last set.
    next: Option<usize>,
    started_at: Option<Instant>,
    /// The bytes that may be sent, negative if more were sent, and when this was computed.
    budget: Option<(f64, Instant)>,
}

impl Broadcast {
    /// Creates the state for a host whose link carries `link` bytes per second.
    #[must_use]
    pub fn new(link: u32) -> Self {
        Self {
            link: f64::from(link),
            next: None,
            started_at: None,
            budget: None,
        }
    }

    /// Returns the set to send now, if any of `sets` is due: one after the other at the
    /// rate of the link, and all again after [`MAP_INTERVAL`].
    pub fn next(&mut self, sets: usize, now: Instant) -> Option<usize> {
        let recent = |at| now.saturating_duration_since(at) < MAP_INTERVAL;
        let next = match self.next.filter(|&next| next < sets) {
            Some(next) => next,
            None if self.started_at.is_some_and(recent) => return None,
            None => {
                self.started_at = Some(now);
                0
            }
        };
        self.next = Some(next);
        if !self.has_budget(now) {
            return None;
        }
        self.next = Some(next + 1);
        Some(next)
    }

    /// Deducts `bytes` that were sent.
    pub fn sent(&mut self, bytes: usize) {
        if let Some((budget, _)) = &mut self.budget {
            *budget -= f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        }
    }

    fn has_budget(&mut self, now: Instant) -> bool {
        let burst = self.link * BURST_TIME.as_secs_f64();
        let budget = self.budget.map_or(burst, |(budget, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            (budget + age * self.link * LINK_FRACTION).min(burst)
        });
        self.budget = Some((budget, now));
        budget > 0.0
    }
}

/// The counts that a relay has received from its branch, until it forwards their sum.
#[derive(Debug, Default)]
pub struct Aggregation {
    active_until: Option<Instant>,
    /// A rank of the group and epoch that the counts belong to.
    place: Option<Place>,
    counts: Vec<u64>,
}

impl Aggregation {
    /// Records that rank 0 uses this rank as a relay.
    pub fn activate(&mut self, now: Instant) {
        self.active_until = Some(now + RELAY_LIFETIME);
    }

    /// Returns whether this rank is a relay.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        self.active_until
            .is_some_and(|active_until| active_until > now)
    }

    /// Adds the counts of a rank of the branch.
    pub fn add(&mut self, place: &Place, units: &[f32], counts: &[u8], now: Instant) {
        if !self.is_active(now) || units.is_empty() || !counts.len().is_multiple_of(units.len()) {
            return;
        }
        let same = self.place.as_ref().is_some_and(|of| of.shares_group(place));
        if !same || self.counts.len() != counts.len() {
            self.place = Some(place.clone());
            self.counts = vec![0; counts.len()];
        }
        let experts = counts.len() / units.len();
        for (at, (sum, &count)) in self.counts.iter_mut().zip(counts).enumerate() {
            *sum += whole(f64::from(units[at / experts]) * f64::from(count));
        }
    }

    /// Returns the counts received for the group's epoch since the last call, with the
    /// rank's own counts `new`.
    pub fn take(&mut self, place: &Place, new: Vec<u64>) -> Vec<u64> {
        let mine = self.place.take().is_some_and(|of| of.shares_group(place));
        let gathered = std::mem::take(&mut self.counts);
        if !mine || gathered.len() != new.len() {
            return new;
        }
        gathered.iter().zip(&new).map(|(a, b)| a + b).collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of some passes"
)]
const fn whole(count: f64) -> u64 {
    count.round() as u64
}
