//! Notifications to other entries about requests that crash endpoints and about rate
//! limits of endpoints.

use std::cell::RefCell;
use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::content::Fingerprint;
use crate::gossip;
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::peer::{self, Datagram};
use crate::quarantine::{Accused, Crash};
use cactusnotch_throttle::Rate;
use cactusnotch_throttle::limits::Report;

/// Number of times that the entry that observed a crash sends it to all others, half a
/// second apart. With a loss of one datagram in 30, one entry in 27,000 receives it only
/// from others.
const REPEATS: u32 = 3;
/// Number of entries to which a received crash report is forwarded, for entries that the
/// sender can't reach.
const FORWARD_COUNT: usize = 3;

/// A notification to other entries.
#[derive(Debug, Clone)]
pub(crate) enum Notification {
    /// An endpoint crashed while it ran a request.
    Crash(Accused, Crash),
    /// A request or a part of prompts is quarantined.
    Quarantined(Quarantined),
    /// A request or a part of prompts was answered.
    Served(Fingerprint),
    /// Endpoints have these rate limits.
    Limits(Vec<Report>),
}

/// A request or a part of prompts that is quarantined.
#[derive(Debug, Clone)]
pub(crate) struct Quarantined {
    pub(crate) suspect: Fingerprint,
    /// The parts that a request must have as well to be kept from endpoints.
    pub(crate) companions: Vec<Fingerprint>,
    pub(crate) until: Instant,
}

impl Notification {
    fn datagram(&self, now: Instant) -> Datagram {
        let millis = |time| u32::try_from(millis(time)).unwrap_or(u32::MAX);
        match self {
            Self::Crash(accused, crash) => Datagram::Crash(peer::Crash {
                content: accused.content,
                parts: accused.parts.clone(),
                endpoint: crash.endpoint.clone(),
                sent_ago: millis(now.saturating_duration_since(crash.sent)),
                ago: millis(now.saturating_duration_since(crash.at)),
            }),
            Self::Quarantined(quarantined) => Datagram::Held(peer::Quarantined {
                content: quarantined.suspect,
                companions: quarantined.companions.clone(),
                left: millis(quarantined.until.saturating_duration_since(now)),
            }),
            Self::Served(fingerprint) => Datagram::Served(*fingerprint),
            Self::Limits(reports) => {
                let limit = |report: &Report| peer::Limit {
                    endpoint: report.endpoint.clone(),
                    rate: report.limit.map(Rate::per_second),
                    ago: millis(now.saturating_duration_since(report.at)),
                };
                Datagram::Limits(reports.iter().map(limit).collect())
            }
        }
    }
}

/// The receivers of a notification.
#[derive(Debug, Clone, Copy)]
enum Audience {
    All,
    Few,
    Any,
    One(SocketAddr),
}

#[derive(Debug)]
struct Due {
    notification: Notification,
    audience: Audience,
    /// How many more times it is to be sent.
    times: u32,
    /// Whether it has been sent at least once.
    sent: bool,
}

/// The queue of notifications to other entries.
#[derive(Debug, Default)]
pub(crate) struct Notifications {
    due: RefCell<Vec<Due>>,
    pushed: Notify,
}

impl Notifications {
    /// Queues a notification to all entries, sent [`REPEATS`] times.
    pub(crate) fn broadcast_repeatedly(&self, notification: Notification) {
        self.push(notification, Audience::All, REPEATS);
    }

    /// Queues a notification to all entries, sent once.
    pub(crate) fn broadcast(&self, notification: Notification) {
        self.push(notification, Audience::All, 1);
    }

    /// Queues a notification to [`FORWARD_COUNT`] random entries.
    pub(crate) fn send_to_few(&self, notification: Notification) {
        self.push(notification, Audience::Few, 1);
    }

    /// Queues a notification to one random entry.
    pub(crate) fn send_to_any(&self, notification: Notification) {
        self.push(notification, Audience::Any, 1);
    }

    /// Queues a notification to the given entry.
    pub(crate) fn send_to(&self, notification: Notification, entry: SocketAddr) {
        self.push(notification, Audience::One(entry), 1);
    }

    fn push(&self, notification: Notification, audience: Audience, times: u32) {
        self.due.borrow_mut().push(Due {
            notification,
            audience,
            times,
            sent: false,
        });
        self.pushed.notify_one();
    }

    /// Waits until a notification is queued.
    pub(crate) async fn pushed(&self) {
        self.pushed.notified().await;
    }
}

/// Sends the notifications that have not been sent yet and, if `again` is set, the repeats
/// that are due. Those with repeats left stay queued.
pub(crate) fn send_due(shared: &SharedState, socket: &UdpSocket, again: bool, now: Instant) {
    let due = std::mem::take(&mut *shared.notifications.due.borrow_mut());
    for mut due in due {
        if due.sent && !again {
            shared.notifications.due.borrow_mut().push(due);
            continue;
        }
        let datagram = due.notification.datagram(now);
        for entry in audience(shared, due.audience) {
            gossip::send(socket, &datagram, entry);
        }
        (due.times, due.sent) = (due.times - 1, true);
        if due.times > 0 {
            shared.notifications.due.borrow_mut().push(due);
        }
    }
}

fn audience(shared: &SharedState, audience: Audience) -> Vec<SocketAddr> {
    match audience {
        Audience::All => shared.peers.borrow().all(),
        Audience::Few => random_peers(shared, FORWARD_COUNT),
        Audience::Any => random_peers(shared, 1),
        Audience::One(entry) => vec![entry],
    }
}

/// Returns up to `number` other entries, chosen at random.
fn random_peers(shared: &SharedState, number: usize) -> Vec<SocketAddr> {
    let all = shared.peers.borrow().all();
    let mut rng = shared.rng.borrow_mut();
    all.choose_multiple(&mut rng, number).copied().collect()
}
