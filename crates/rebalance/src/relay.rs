//! How what rank 0 says reaches a large group, and how counts come back, over hosts
//! with narrow links.
//!
//! Sent by rank 0 to each of 95 ranks, the map in force alone is 1.2 MB and the counts of
//! all ranks are 2.5 MB a second, where its link carries 0.75 MB. So ranks are split into
//! branches of about the square root of their number, each within a data centre; one rank
//! of a branch, its relay, passes on what rank 0 says, and adds up what the branch counts.
//! A relay keeps nothing that is needed: if it fails, rank 0 takes another one, and until
//! then tells ranks that have not followed itself.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::state::Place;

/// The largest group that rank 0 speaks with itself. With 32 ranks a map is in force 0.5 s
/// after a turn of demand; a relay adds a message to each phase.
pub const DIRECT_MAX: u16 = 32;
/// How often relays are told the round though nothing has changed, so that ranks know
/// where their counts go and that rank 0 is there.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);
/// How long a rank takes the relay that it heard last for its own: two heartbeats may be
/// lost.
pub const RELAY_TIME: Duration = Duration::from_millis(1_700);
/// How often the map in force is told to ranks that lack it, from beginning to beginning.
pub const MAP_EVERY: Duration = Duration::from_millis(600);
/// The part of a host's link that telling the map takes; the rest is for rounds, counts and
/// loads.
const LINK_PART: f64 = 0.5;
/// The most that is sent at once, in the time that the link takes for it: it holds about a
/// tenth of a second back and drops what comes after, so that the end of a long train never
/// arrives.
const BURST_TIME: Duration = Duration::from_millis(32);

/// A rank that rank 0 has heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer<'a> {
    /// The rank.
    pub rank: u16,
    /// Where its agent is.
    pub agent: SocketAddr,
    /// The data centre of its host, empty if that isn't known.
    pub data_centre: &'a str,
    /// Whether it was heard lately, so that it can pass on what it is told.
    pub alive: bool,
}

/// A relay with the ranks that it passes on to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The agent that passes on.
    pub relay: SocketAddr,
    /// The agents that it passes on to.
    pub to: Vec<SocketAddr>,
}

/// Tells whether a group of `size` ranks is told by relays.
#[must_use]
pub const fn relays(size: u16) -> bool {
    size > DIRECT_MAX
}

/// Splits `peers` of a group of `size` ranks into branches: within data centres, since
/// what crosses between them is paid for, and no larger than the square root of the size,
/// so that rank 0 and relays send about as much.
#[must_use]
pub fn branches(size: u16, mut peers: Vec<Peer<'_>>) -> Vec<Branch> {
    peers.sort_unstable_by_key(|peer| (peer.data_centre, peer.rank));
    let most = if relays(size) { width(size) } else { 1 };
    let centres = peers.chunk_by(|a, b| a.data_centre == b.data_centre);
    centres
        .flat_map(|centre| centre.chunks(even(centre.len(), most)))
        .map(branch)
        .collect()
}

/// Returns the most ranks of a branch, its relay included.
const fn width(size: u16) -> usize {
    let root = size.isqrt();
    (if root * root < size { root + 1 } else { root }) as usize
}

/// Returns the size of the parts, of at most `most`, that `count` is split into evenly.
const fn even(count: usize, most: usize) -> usize {
    count.div_ceil(count.div_ceil(most))
}

/// Makes a branch of `peers`, relayed by the first that is alive.
fn branch(peers: &[Peer<'_>]) -> Branch {
    let relay = peers.iter().position(|peer| peer.alive).unwrap_or(0);
    let others = peers.iter().enumerate().filter(|&(at, _)| at != relay);
    Branch {
        relay: peers[relay].agent,
        to: others.map(|(_, peer)| peer.agent).collect(),
    }
}

/// How far rank 0 is in telling the map in force, set by set.
#[derive(Debug)]
pub struct Telling {
    /// The bytes a second that the host's link carries.
    link: f64,
    /// The set that is told next; none is left if there is no such set.
    next: Option<usize>,
    begun: Option<Instant>,
    /// The bytes that may be sent, below zero if more were, and at which moment.
    left: Option<(f64, Instant)>,
}

impl Telling {
    /// Creates the telling of a host whose link carries `link` bytes a second.
    #[must_use]
    pub fn new(link: u32) -> Self {
        Self {
            link: f64::from(link),
            next: None,
            begun: None,
            left: None,
        }
    }

    /// Returns the set that is to be told now, if any of `sets` is: one after the other as
    /// the link carries them, and all anew after [`MAP_EVERY`].
    pub fn next(&mut self, sets: usize, now: Instant) -> Option<usize> {
        let lately = |at| now.saturating_duration_since(at) < MAP_EVERY;
        let next = match self.next.filter(|&next| next < sets) {
            Some(next) => next,
            None if self.begun.is_some_and(lately) => return None,
            None => {
                self.begun = Some(now);
                0
            }
        };
        self.next = Some(next);
        if !self.has_room(now) {
            return None;
        }
        self.next = Some(next + 1);
        Some(next)
    }

    /// Notes that `bytes` were sent.
    pub fn sent(&mut self, bytes: usize) {
        if let Some((left, _)) = &mut self.left {
            *left -= f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        }
    }

    fn has_room(&mut self, now: Instant) -> bool {
        let burst = self.link * BURST_TIME.as_secs_f64();
        let left = self.left.map_or(burst, |(left, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            (left + age * self.link * LINK_PART).min(burst)
        });
        self.left = Some((left, now));
        left > 0.0
    }
}

/// What a relay has been told of its branch's choices, until it passes the sum on.
#[derive(Debug, Default)]
pub struct Gathering {
    until: Option<Instant>,
    /// A rank of the group and life that the counts are of.
    place: Option<Place>,
    counts: Vec<u64>,
}

impl Gathering {
    /// Notes that rank 0 has this rank pass on what it says.
    pub fn open(&mut self, now: Instant) {
        self.until = Some(now + RELAY_TIME);
    }

    /// Tells whether this rank is a relay.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// Adds what a rank of the branch counted.
    pub fn add(&mut self, place: &Place, units: &[f32], counts: &[u8], now: Instant) {
        if !self.is_open(now) || units.is_empty() || !counts.len().is_multiple_of(units.len()) {
            return;
        }
        let same = self.place.as_ref().is_some_and(|of| of.is_beside(place));
        if !same || self.counts.len() != counts.len() {
            self.place = Some(place.clone());
            self.counts = vec![0; counts.len()];
        }
        let experts = counts.len() / units.len();
        for (at, (sum, &count)) in self.counts.iter_mut().zip(counts).enumerate() {
            *sum += whole(f64::from(units[at / experts]) * f64::from(count));
        }
    }

    /// Returns what was gathered for the group's life since the last time, with the rank's
    /// own counts `new`.
    pub fn take(&mut self, place: &Place, new: Vec<u64>) -> Vec<u64> {
        let mine = self.place.take().is_some_and(|of| of.is_beside(place));
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
