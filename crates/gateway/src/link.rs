//! The health of the way to the store, and who asks it while it doesn't answer.
//!
//! A store that is down, or turns hosts away, would be asked by every task of every entry
//! again and again: 149 entries with three tasks each made 11,900 calls in a day with an
//! outage of eight seconds, and 7,000 as it is here. While the store is lost one task of an
//! entry asks at a time, and entries that hear others rely on a few of their data centre:
//! these ask often and tell all once they get an answer.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::outage::DETECTION_DELAY_MAX;
use crate::store::CALL_TIMEOUT;

/// The pause after the first failed call, doubled with each further one. Each
/// call is counted and paid for, refused ones too.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause of an entry that asks for others, so that they are back soon after
/// the store is.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// The same pauses of an entry that relies on others, or hears none. A host that is cut
/// off has to know the newest configuration three seconds after its way is sound again.
const RELYING_PAUSE: Duration = Duration::from_millis(500);
const RELYING_PAUSE_MAX: Duration = Duration::from_secs(2);

/// The time for which missing endpoints are used rests on how late an entry may
/// notice the store's return.
const _: () =
    assert!(PAUSE_MAX.as_millis() + CALL_TIMEOUT.as_millis() <= DETECTION_DELAY_MAX.as_millis());

/// The part of an entry while the store doesn't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It asks for others of its data centre too.
    Asks,
    /// Others ask for it, or it hears nobody and will hardly get an answer.
    Relies,
}

/// The health of an entry's way to the store.
#[derive(Debug, Default)]
pub struct Link {
    lost: Option<Instant>,
    failures: u32,
    /// When the store may be asked again while it is lost.
    next: Option<Instant>,
}

impl Link {
    /// Returns how long to wait before the store is asked, or nothing if it may be asked
    /// now; that takes the turn, so that no other task asks meanwhile.
    pub fn wait(&mut self, now: Instant) -> Option<Duration> {
        self.lost?;
        let left = self.next.map(|at| at.saturating_duration_since(now));
        let left = left.filter(|left| !left.is_zero());
        if left.is_none() {
            self.next = Some(now + CALL_TIMEOUT);
        }
        left
    }

    /// Notes a failed call; returns whether the store was lost with it. `jitter`, from 0 to
    /// 1, spreads the calls of entries that have lost it at once.
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

    /// Tells whether the store is lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Takes that the store came back at `returned` for another entry of the data centre;
    /// returns whether this one had lost the store before that.
    pub fn note_return(&mut self, returned: Instant) -> bool {
        let heard = self.lost.is_some_and(|lost| lost < returned);
        if heard {
            self.answer(returned);
        }
        heard
    }

    /// Notes an answer; returns for how long the store was lost if it was.
    pub fn answer(&mut self, now: Instant) -> Option<Duration> {
        self.failures = 0;
        self.next = None;
        let lost = self.lost.take()?;
        Some(now.saturating_duration_since(lost))
    }
}
