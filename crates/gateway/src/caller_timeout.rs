//! How long callers wait for events, and how long requests may therefore wait at an entry.

use std::time::Duration;

/// The shortest time without an event after which callers disconnect; with slow routes they
/// wait longer.
const EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// What a late request needs of that time from its start to its first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(800);
/// What a moved stream needs of that time from its start to its next event: it only has to
/// read its prompt again.
const NEXT_EVENT_TIME: Duration = Duration::from_millis(500);

/// How long a request that can no longer be on time waits under overload control, from its
/// arrival.
pub(crate) const LATE_WAIT: Duration = EVENT_TIMEOUT.saturating_sub(FIRST_EVENT_TIME);
/// How long a stream whose endpoint is lost waits, from its last event.
pub(crate) const MOVED_WAIT: Duration = EVENT_TIMEOUT.saturating_sub(NEXT_EVENT_TIME);
/// How long a returning caller waits for a free slot without overload control. A caller that is
/// refused again is lost.
pub const RETURNED_WAIT: Duration = Duration::from_secs(1);
