//! What other entries are told of requests that end endpoints, and of endpoints in need.

use std::cell::RefCell;
use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::content::Fingerprint;
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::listing;
use crate::peer::{self, Datagram};
use crate::quarantine::Crash;
use cactusnotch_throttle::Rate;
use cactusnotch_throttle::limits::Report;

/// How often the entry that saw a crash tells all others, half a second apart: where one
/// datagram in 30 is lost, one entry in 27,000 hears of it only from others.
const REPEATS: u32 = 3;
/// How many entries an entry tells of a crash that it was told of, so that those which the
/// first can't reach hear of it too.
const FORWARD_COUNT: usize = 3;

/// What is told.
#[derive(Debug, Clone)]
pub(crate) enum Notification {
    /// An endpoint ended under a request.
    Crash(Fingerprint, Crash),
    /// A request is held until then.
    Held(Fingerprint, Instant),
    /// A request was served whole.
    Served(Fingerprint),
    /// Endpoints have these limits.
    Limits(Vec<Report>),
}

impl Notification {
    fn datagram(&self, now: Instant) -> Datagram {
        let millis = |time| u32::try_from(millis(time)).unwrap_or(u32::MAX);
        match self {
            Self::Crash(content, crash) => Datagram::Crash(peer::Crash {
                content: *content,
                endpoint: crash.endpoint.clone(),
                sent_ago: millis(now.saturating_duration_since(crash.sent)),
                ago: millis(now.saturating_duration_since(crash.at)),
            }),
            Self::Held(content, until) => Datagram::Held(peer::Quarantined {
                content: *content,
                left: millis(until.saturating_duration_since(now)),
            }),
            Self::Served(content) => Datagram::Served(*content),
            Self::Limits(words) => {
                let limit = |word: &Report| peer::Limit {
                    endpoint: word.endpoint.clone(),
                    rate: word.limit.map(Rate::per_second),
                    ago: millis(now.saturating_duration_since(word.at)),
                };
                Datagram::Limits(words.iter().map(limit).collect())
            }
        }
    }
}

/// Who is told.
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
    /// How often it is still to be told.
    times: u32,
    /// Whether it has been told already.
    sent: bool,
}

/// What other entries are to be told.
#[derive(Debug, Default)]
pub(crate) struct Notifications {
    due: RefCell<Vec<Due>>,
    pushed: Notify,
}

impl Notifications {
    /// Has all entries told, several times.
    pub(crate) fn broadcast_repeatedly(&self, notification: Notification) {
        self.push(notification, Audience::All, REPEATS);
    }

    /// Has all entries told once.
    pub(crate) fn broadcast(&self, notification: Notification) {
        self.push(notification, Audience::All, 1);
    }

    /// Has a few entries told.
    pub(crate) fn send_to_few(&self, notification: Notification) {
        self.push(notification, Audience::Few, 1);
    }

    /// Has one entry told, whichever.
    pub(crate) fn send_to_any(&self, notification: Notification) {
        self.push(notification, Audience::Any, 1);
    }

    /// Has this entry told.
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

    /// Waits until there is something new to be told.
    pub(crate) async fn pushed(&self) {
        self.pushed.notified().await;
    }
}

/// Tells what is new, or what is to be told `again` as well, and keeps what is due later.
pub(crate) fn send_due(shared: &SharedState, socket: &UdpSocket, again: bool, now: Instant) {
    let due = std::mem::take(&mut *shared.notifications.due.borrow_mut());
    for mut due in due {
        if due.sent && !again {
            shared.notifications.due.borrow_mut().push(due);
            continue;
        }
        let datagram = due.notification.datagram(now);
        for entry in audience(shared, due.audience) {
            listing::send(socket, &datagram, entry);
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

/// Returns so many other entries, drawn at random.
fn random_peers(shared: &SharedState, number: usize) -> Vec<SocketAddr> {
    let all = shared.peers.borrow().all();
    let mut rng = shared.rng.borrow_mut();
    all.choose_multiple(&mut rng, number).copied().collect()
}
