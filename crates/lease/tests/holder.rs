//! The right of one holder after lost replies, pauses and releases.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant, Manual, Suspension};
use cactusnotch_base::number::{Fence, Sequence};
use cactusnotch_lease::call::{Answer, Call, Found, Ticket};
use cactusnotch_lease::{Driver, Lease, Options, Record};
use cactusnotch_objects::object::{Condition, Object, Path, Version};
use cactusnotch_objects::{Store, store};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn second(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn released(version: u64) -> Found {
    Found {
        version: Version(version),
        record: Record {
            holder: "entry-9".into(),
            session: 99,
            attempt: Sequence(4),
            fence: Fence(6),
            ttl_ms: 9_000,
            released: true,
        },
    }
}

fn put(call: Option<(Ticket, Call)>) -> (Ticket, Record, Condition) {
    match call {
        Some((ticket, Call::Put { record, condition })) => (ticket, record, condition),
        other => panic!("expected a write, not {other:?}"),
    }
}

/// Returns a lease that was acquired at `now` with version 8.
fn acquired(now: Instant) -> Lease {
    let mut lease = Lease::new(Options::default(), "entry-0".into(), &mut rng());
    lease.acquire();
    let (ticket, _) = lease.poll(now).expect("a first read");
    lease.answer(ticket, Answer::Read(Some(released(7))), now, &mut rng());
    let (ticket, record, condition) = put(lease.poll(now));
    assert_eq!(condition, Condition::Version(Version(7)));
    assert_eq!(record.fence, Fence(7));
    lease.answer(ticket, Answer::Written(Version(8)), now, &mut rng());
    lease
}

#[test]
fn a_lost_reply_is_settled_by_reading_back_and_dated_from_the_send() {
    let start = clock::now();
    let mut lease = acquired(start);
    let sent = start + second(3);
    let (ticket, record, _) = put(lease.poll(sent));
    let lost = sent + second(1);
    lease.answer(ticket, Answer::Unanswered, lost, &mut rng());
    let back = lost + second(4);
    let (ticket, call) = lease.poll(back).expect("a read back");
    assert_eq!(call, Call::Get);
    let found = Found {
        version: Version(9),
        record,
    };
    lease.answer(ticket, Answer::Read(Some(found)), back, &mut rng());
    let guard = lease.check(back).expect("the renewal took effect");
    assert_eq!(guard.deadline(), sent + second(9));
    assert_eq!(guard.fence(), Fence(7));
}

#[test]
fn a_paused_holder_resumes_without_the_right_and_comes_back_under_a_new_fence() {
    let start = clock::now();
    let mut lease = acquired(start);
    let guard = lease.check(start).expect("held");
    let resumed = start + second(9);
    assert!(lease.check(resumed).is_none());
    assert!(!guard.check(resumed));
    let (_, record, condition) = put(lease.poll(resumed));
    assert_eq!(record.fence, Fence(8));
    assert_eq!(condition, Condition::Version(Version(8)));
}

#[test]
fn a_release_waits_for_the_guards_in_use() {
    let start = clock::now();
    let mut lease = acquired(start);
    let guard = lease.check(start).expect("held");
    lease.release();
    assert!(lease.check(start).is_none());
    assert!(lease.poll(start + second(1)).is_none());
    drop(guard);
    let (ticket, record, _) = put(lease.poll(start + second(1)));
    assert!(record.released);
    // The lease is wanted again while the release is in flight: there is no
    // right before a new write.
    lease.acquire();
    let lost = start + second(2);
    lease.answer(ticket, Answer::Unanswered, lost, &mut rng());
    assert!(lease.check(lost).is_none());
}

#[test]
fn a_taker_waits_for_an_absent_object_as_for_a_holder() {
    let start = clock::now();
    let mut lease = Lease::new(Options::default(), "entry-0".into(), &mut rng());
    lease.acquire();
    let (ticket, _) = lease.poll(start).expect("a first read");
    lease.answer(ticket, Answer::Read(None), start, &mut rng());
    let early = start + second(9);
    let (ticket, call) = lease.poll(early).expect("a further read");
    assert_eq!(call, Call::Get);
    lease.answer(ticket, Answer::Read(None), early, &mut rng());
    let (_, _, condition) = put(lease.poll(start + second(10)));
    assert_eq!(condition, Condition::Absent);
}

/// A platform whose first write takes effect without an answer.
#[derive(Debug, Clone, Default)]
struct FirstReplyLost(std::sync::Arc<std::sync::Mutex<(u64, Option<Object>)>>);

impl Store for FirstReplyLost {
    fn get(&self, _: &Path) -> Result<Option<Object>, store::Error> {
        Ok(self.0.lock().unwrap().1.clone())
    }

    fn put(
        &self,
        path: &Path,
        value: &serde_json::Value,
        _: Condition,
    ) -> Result<Version, store::Error> {
        let mut state = self.0.lock().unwrap();
        state.0 += 1;
        let version = Version(state.0);
        state.1 = Some(Object {
            path: path.clone(),
            version,
            value: value.clone(),
        });
        if state.0 > 1 {
            return Ok(version);
        }
        Err(store::Error::Unanswered {
            path: path.clone(),
            detail: "timed out".into(),
        })
    }

    fn delete(&self, _: &Path, _: Condition) -> Result<(), store::Error> {
        Ok(())
    }

    fn changes(
        &self,
        _: &str,
        _: Version,
        _: Duration,
    ) -> Result<cactusnotch_objects::object::Changes, store::Error> {
        unreachable!("a lease is not watched")
    }
}

#[test]
fn the_driver_reads_back_after_an_unanswered_write() {
    let clock = Manual::new(second(0));
    let lease = Lease::new(Options::default(), "entry-0".into(), &mut rng());
    let store = FirstReplyLost::default();
    let mut driver = Driver::new(store, clock.clone(), rng(), "group/a", lease);
    driver.lease().acquire();
    assert!(driver.tick().unwrap());
    clock.advance(second(10));
    let error = driver.tick().expect_err("the reply is lost");
    assert!(error.to_string().contains("lease/group/a"), "{error}");
    assert!(driver.check().is_none());
    clock.advance(second(1));
    assert!(driver.tick().unwrap());
    assert_eq!(driver.check().expect("settled").fence(), Fence(1));
}

#[test]
fn a_holder_whose_host_was_suspended_past_its_lease_may_not_act() {
    let suspension = Suspension::default();
    suspension.install();
    let lease = acquired(clock::now());
    let guard = lease.check(clock::now()).expect("it holds the lease");
    assert!(guard.check(clock::now()));
    suspension.extend(second(10));
    assert!(!guard.check(clock::now()));
    assert!(lease.check(clock::now()).is_none());
}
