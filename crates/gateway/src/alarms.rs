//! What other entries are told of requests that end endpoints, and of endpoints in need.

use std::cell::RefCell;
use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::content::Content;
use crate::journal::millis;
use crate::knowledge::Knowledge;
use crate::listing;
use crate::peer::{self, Datagram};
use crate::quarantine::Crash;
use cactusnotch_throttle::Rate;
use cactusnotch_throttle::limits::Report;

/// How often the entry that saw a crash tells all others, half a second apart: where one
/// datagram in 30 is lost, one entry in 27,000 hears of it only from others.
const TIMES: u32 = 3;
/// How many entries an entry tells of a crash that it was told of, so that those which the
/// first can't reach hear of it too.
const FURTHER: usize = 3;

/// What is told.
#[derive(Debug, Clone)]
pub(crate) enum Alarm {
    /// An endpoint ended under a request.
    Crash(Content, Crash),
    /// A request is held until then.
    Held(Content, Instant),
    /// A request was served whole.
    Served(Content),
    /// Endpoints have these limits.
    Limits(Vec<Report>),
}

impl Alarm {
    fn datagram(&self, now: Instant) -> Datagram {
        let millis = |time| u32::try_from(millis(time)).unwrap_or(u32::MAX);
        match self {
            Self::Crash(content, crash) => Datagram::Crash(peer::Crash {
                content: *content,
                endpoint: crash.endpoint.clone(),
                sent_ago: millis(now.saturating_duration_since(crash.sent)),
                ago: millis(now.saturating_duration_since(crash.at)),
            }),
            Self::Held(content, until) => Datagram::Held(peer::Held {
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
    alarm: Alarm,
    audience: Audience,
    /// How often it is still to be told.
    times: u32,
    /// Whether it has been told already.
    told: bool,
}

/// What other entries are to be told.
#[derive(Debug, Default)]
pub(crate) struct Alarms {
    due: RefCell<Vec<Due>>,
    raised: Notify,
}

impl Alarms {
    /// Has all entries told, several times.
    pub(crate) fn tell_all(&self, alarm: Alarm) {
        self.push(alarm, Audience::All, TIMES);
    }

    /// Has all entries told once.
    pub(crate) fn mention(&self, alarm: Alarm) {
        self.push(alarm, Audience::All, 1);
    }

    /// Has a few entries told.
    pub(crate) fn tell_few(&self, alarm: Alarm) {
        self.push(alarm, Audience::Few, 1);
    }

    /// Has one entry told, whichever.
    pub(crate) fn tell_any(&self, alarm: Alarm) {
        self.push(alarm, Audience::Any, 1);
    }

    /// Has this entry told.
    pub(crate) fn tell_one(&self, alarm: Alarm, entry: SocketAddr) {
        self.push(alarm, Audience::One(entry), 1);
    }

    fn push(&self, alarm: Alarm, audience: Audience, times: u32) {
        self.due.borrow_mut().push(Due {
            alarm,
            audience,
            times,
            told: false,
        });
        self.raised.notify_one();
    }

    /// Waits until there is something new to be told.
    pub(crate) async fn raised(&self) {
        self.raised.notified().await;
    }
}

/// Tells what is new, or what is to be told `again` as well, and keeps what is due later.
pub(crate) fn tell(knowledge: &Knowledge, socket: &UdpSocket, again: bool, now: Instant) {
    let due = std::mem::take(&mut *knowledge.alarms.due.borrow_mut());
    for mut due in due {
        if due.told && !again {
            knowledge.alarms.due.borrow_mut().push(due);
            continue;
        }
        let datagram = due.alarm.datagram(now);
        for entry in audience(knowledge, due.audience) {
            listing::send(socket, &datagram, entry);
        }
        (due.times, due.told) = (due.times - 1, true);
        if due.times > 0 {
            knowledge.alarms.due.borrow_mut().push(due);
        }
    }
}

fn audience(knowledge: &Knowledge, audience: Audience) -> Vec<SocketAddr> {
    match audience {
        Audience::All => knowledge.peers.borrow().all(),
        Audience::Few => some(knowledge, FURTHER),
        Audience::Any => some(knowledge, 1),
        Audience::One(entry) => vec![entry],
    }
}

/// Returns so many other entries, drawn at random.
fn some(knowledge: &Knowledge, number: usize) -> Vec<SocketAddr> {
    let all = knowledge.peers.borrow().all();
    let mut rng = knowledge.rng.borrow_mut();
    all.choose_multiple(&mut rng, number).copied().collect()
}
