//! The health of the path to the store, and which entries call it during an outage.
//!
//! Without a limit, every task of every entry would retry calls to a store that is down or
//! refuses the host: in a day with an outage of eight seconds, 149 entries with three tasks
//! each made 11,900 calls, and 7,000 with the limits below. While the store is lost, only
//! one task of an entry calls at a time, and entries that receive datagrams from others
//! rely on a few entries of their data centre. These call often, and notify the others once
//! they get an answer.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::outage::DETECTION_DELAY_MAX;
use crate::store::CALL_TIMEOUT;

/// Pause after the first failed call, doubled with each further one. Every call is billed,
/// including refused ones.
const PAUSE: Duration = Duration::from_millis(60);
/// Longest pause of an entry that calls on behalf of others, short enough for them to
/// resume soon after the store does.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// The same pauses for an entry that relies on others or receives datagrams from none. A
/// host that was cut off must have the latest configuration three seconds after its path to
/// the store works again.
const RELYING_PAUSE: Duration = Duration::from_millis(500);
const RELYING_PAUSE_MAX: Duration = Duration::from_secs(2);

/// The time for which missing endpoints stay in use assumes this bound on the delay until
/// an entry detects the store's return.
const _: () =
    assert!(PAUSE_MAX.as_millis() + CALL_TIMEOUT.as_millis() <= DETECTION_DELAY_MAX.as_millis());

/// The role of an entry while the store is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It calls the store on behalf of its data centre.
    Asks,
    /// Other entries call on its behalf, or it receives datagrams from none and is unlikely
    /// to get an answer.
    Relies,
}

/// The health of an entry's path to the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    lost: Option<Instant>,
    failures: u32,
    /// When the store may be called next while it is lost.
    next: Option<Instant>,
}

impl StoreHealth {
    /// Returns how long to wait before the store may be called, or `None` if it may be
    /// called now. `None` reserves the call for this task: others have to wait for its
    /// result or its timeout.
    pub fn wait(&mut self, now: Instant) -> Option<Duration> {
        self.lost?;
        let left = self.next.map(|at| at.saturating_duration_since(now));
        let left = left.filter(|left| !left.is_zero());
        if left.is_none() {
            self.next = Some(now + CALL_TIMEOUT);
        }
        left
    }

    /// Records a failed call; returns whether the store is newly lost. `jitter`, from 0 to
    /// 1, spreads the calls of entries that lost the store at the same time.
    pub fn fail(&mut self, role: Role, now: Instant, jitter: f64) -> bool {
        let (first, most) = match role {
            Role::Asks => (PAUSE, PAUSE_MAX),
            Role::Relies => (RELYING_PAUSE, RELYING_PAUSE_MAX),
        };
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let pause = first.saturating_mul(factor).min(most);
        self.failures = self.failures.saturating_add(1);
        let next = now + pause.mul_f64(0.5 + jitter / 2.0);
        self.next = Some(next);
        let is_new = self.lost.is_none();
        self.lost.get_or_insert(now);
        is_new
    }

    /// Returns whether the store is lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Records that the store answered another entry of the data centre again at
    /// `returned`; returns whether this entry had lost the store before that.
    pub fn note_return(&mut self, returned: Instant) -> bool {
        let had_lost = self.lost.is_some_and(|lost| lost < returned);
        if had_lost {
            self.answer(returned);
        }
        had_lost
    }

    /// Records an answer; returns for how long the store was lost, `None` if it was not.
    pub fn answer(&mut self, now: Instant) -> Option<Duration> {
        self.failures = 0;
        self.next = None;
        let lost = self.lost.take()?;
        Some(now.saturating_duration_since(lost))
    }
}
