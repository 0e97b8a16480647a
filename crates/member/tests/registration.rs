//! Registration of a process's own record, including lost replies.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::Incarnation;
use cactusnotch_member::registration::{Answer, Call};
use cactusnotch_member::{Options, Record, Registration, Role, Row, State};
use cactusnotch_objects::object::{Condition, Version};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn record(incarnation: u64, port: u16) -> Record {
    Record {
        process: "entry-1".into(),
        role: Role::Entry,
        host: "host".into(),
        data_centre: "dc".into(),
        region: "region".into(),
        peers: ([10, 0, 0, 1], port).into(),
        callers: None,
        endpoint: None,
        incarnation: Incarnation(incarnation),
        state: State::Joining,
    }
}

fn found(record: Record, version: u64) -> Answer {
    Answer::Found(Some(Row {
        record: Arc::new(record),
        version: Version(version),
    }))
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

fn put(call: Option<Call>) -> (Record, Condition) {
    match call {
        Some(Call::Put(record, condition)) => (*record, condition),
        other => panic!("expected a write, not {other:?}"),
    }
}

#[test]
fn a_restarted_process_takes_a_larger_incarnation_over_its_earlier_record() {
    let now = clock::now();
    let mut own = Registration::new(&Options::default(), record(7, 1));
    assert_eq!(own.poll(now), Some(Call::Find));
    own.answer(found(record(7, 1), 3), now, &mut rng());
    let (written, condition) = put(own.poll(now));
    assert_eq!(
        written.incarnation,
        Incarnation(8),
        "the earlier incarnation started at the same time"
    );
    assert_eq!(condition, Condition::Version(Version(3)));
    // The reply is lost after the write took effect.
    own.answer(Answer::Unanswered, now, &mut rng());
    let later = now + Duration::from_secs(1);
    assert_eq!(own.poll(later), Some(Call::Find));
    own.answer(found(written, 4), later, &mut rng());
    assert_eq!(own.version(), Some(Version(4)));
    assert!(own.is_current());
}

#[test]
fn of_two_processes_of_one_name_the_earlier_is_superseded() {
    let now = clock::now();
    let mut first = Registration::new(&Options::default(), record(5, 1));
    assert_eq!(first.poll(now), Some(Call::Find));
    first.answer(Answer::Found(None), now, &mut rng());
    let (_, condition) = put(first.poll(now));
    assert_eq!(condition, Condition::Absent);
    // A process of the same incarnation at another address registered first.
    first.answer(found(record(5, 2), 1), now, &mut rng());
    assert!(first.superseded());
    assert_eq!(first.poll(now), None);
}
