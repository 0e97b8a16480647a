//! Single writers and replicas: conflicts, lost replies, compaction, forks.

mod support;

use cactusnotch_base::number::Revision;
use cactusnotch_history::{
    Answer, Digest, Entry, Listing, Offer, Options, Reader, Refusal, Replica, Verdict, Writer,
};
use cactusnotch_settings::{Edit, Key, Kind};
use std::time::Duration;
use support::{Fault, Memory, create, delete, edit, layout, relocate, set};

fn options() -> Options {
    Options {
        pause: Duration::ZERO,
        retained: 2,
        compaction_interval: 4,
        ..Options::default()
    }
}

fn writer(store: &Memory) -> Writer<Memory> {
    Writer::new(store.clone(), Replica::new(), options())
}

fn laid_out() -> (Memory, Writer<Memory>) {
    let store = Memory::new();
    let mut writer = writer(&store);
    assert_eq!(writer.submit(&layout()), accepted(1));
    (store, writer)
}

const fn accepted(revision: u64) -> Verdict {
    Verdict::Accepted {
        revision: Revision(revision),
    }
}

fn priority(author: &str, base: u64, value: u64) -> Edit {
    edit(
        author,
        Revision(base),
        vec![set("root", Key::Priority, value)],
    )
}

#[test]
fn an_edit_is_accepted_once_however_often_it_is_submitted() {
    let (store, mut first) = laid_out();
    let change = priority("maite", 1, 7);
    assert_eq!(first.submit(&change), accepted(2));
    assert_eq!(first.submit(&change), accepted(2));
    assert_eq!(writer(&store).submit(&change), accepted(2));
    assert_eq!(store.count("revision"), 2);
}

#[test]
fn a_lost_reply_is_settled_by_reading_back() {
    for fault in [Fault::After, Fault::Before, Fault::Late, Fault::Refused] {
        let (store, mut writer) = laid_out();
        store.fail_next(fault);
        assert_eq!(
            writer.submit(&priority("maite", 1, 7)),
            accepted(2),
            "{fault:?}"
        );
        store.deliver(0);
        assert_eq!(store.count("revision"), 2, "{fault:?}");
    }
}

#[test]
fn a_writer_that_gives_up_says_whether_the_edit_may_be_in_the_order() {
    let (store, writer) = laid_out();
    let once = Options {
        attempts: 0,
        ..options()
    };
    for (fault, is_unknown) in [(Fault::After, true), (Fault::Refused, false)] {
        let store = store.fork();
        let mut writer = Writer::new(store.clone(), writer.replica().clone(), once);
        store.fail_next(fault);
        let verdict = writer.submit(&priority("maite", 1, 7));
        assert_eq!(
            matches!(verdict, Verdict::Unknown { .. }),
            is_unknown,
            "{verdict}"
        );
        assert_eq!(
            matches!(verdict, Verdict::Unavailable { .. }),
            !is_unknown,
            "{verdict}"
        );
    }
}

#[test]
fn a_conflict_names_the_other_edit() {
    let (store, mut winner) = laid_out();
    let mut loser = writer(&store);
    let first = priority("maite", 1, 7);
    assert_eq!(winner.submit(&first), accepted(2));
    let Verdict::Refused(Refusal::Conflict { other, shared }) =
        loser.submit(&priority("inaki", 1, 8))
    else {
        panic!("the later edit conflicts");
    };
    assert_eq!((other.edit, other.author), (first.id, "maite".to_owned()));
    assert_eq!(shared[0].to_string(), "root:priority");
    let elsewhere = edit("inaki", Revision(1), vec![set("o", Key::Priority, 8)]);
    assert_eq!(loser.submit(&elsewhere), accepted(3));
}

#[test]
fn of_two_edits_that_are_invalid_together_the_later_is_refused() {
    let under_b = || create("q", "b", Kind::Policy);
    let pairs = [
        (vec![relocate("a", "b")], vec![relocate("b", "a")]),
        (vec![delete("b")], vec![under_b()]),
        (vec![under_b()], vec![delete("b")]),
        (
            vec![set("a", Key::ConcurrencyLimit, 3)],
            vec![set("o", Key::ConcurrencyFloor, 5)],
        ),
    ];
    for (one, two) in pairs {
        let (store, mut first) = laid_out();
        let mut second = writer(&store);
        let one = edit("maite", Revision(1), one);
        assert_eq!(first.submit(&one), accepted(2));
        let verdict = second.submit(&edit("inaki", Revision(1), two));
        let Verdict::Refused(Refusal::Overtaken { other, .. }) = verdict else {
            panic!("the later edit is overtaken: {verdict}");
        };
        assert_eq!((other.edit, other.author), (one.id, "maite".to_owned()));
    }
}

#[test]
fn a_long_history_is_compacted_and_read_in_three_calls() {
    let (store, mut first) = laid_out();
    let mut late = writer(&store);
    late.replica_mut().offer_entries(first.replica().entries());
    for n in 2..=41 {
        assert_eq!(first.submit(&priority("maite", n - 1, n % 10)), accepted(n));
    }
    assert!(store.count("revision") <= 10, "{}", store.count("revision"));
    let mut reader = Reader::new(store.clone(), Replica::new());
    let before = store.calls();
    assert_eq!(reader.sync(), Ok(Answer::Applied { to: Revision(41) }));
    assert_eq!(store.calls() - before, 3);
    assert_eq!(reader.replica().tree(), first.replica().tree());

    // The next number of this writer was used and deleted earlier, so the number
    // is free again.
    let elsewhere = edit("inaki", Revision(1), vec![set("o", Key::Priority, 8)]);
    assert_eq!(late.submit(&elsewhere), accepted(42));
    assert_eq!(
        reader.watch(Duration::ZERO),
        Ok(Answer::Applied { to: Revision(42) })
    );
    assert_eq!(
        Listing::new(reader.replica(), 1, cactusnotch_base::clock::wall()).rows[0].author,
        "inaki"
    );
}

#[test]
fn a_reader_ignores_a_late_write_under_a_deleted_number() {
    let (store, mut first) = laid_out();
    let mut reader = Reader::new(store.clone(), Replica::new());
    assert!(reader.sync().is_ok());
    let mut paused = first.clone();
    for n in 2..=21 {
        assert_eq!(first.submit(&priority("maite", n - 1, n % 10)), accepted(n));
    }
    // Entry 2 of the paused writer is written late, and the writer stops before
    // it detects that the number is below the floor.
    store.fail_next(Fault::Late);
    paused.submit(&edit(
        "inaki",
        Revision(1),
        vec![set("o", Key::Priority, 8)],
    ));
    store.deliver(0);
    assert_eq!(reader.sync(), Ok(Answer::Applied { to: Revision(22) }));
    let entries = first.replica().entries();
    assert!(matches!(
        reader.replica_mut().offer_entries(entries),
        Answer::Stale
    ));
}

#[test]
fn a_replica_refuses_gaps_forks_and_older_states() {
    let (store, mut first) = laid_out();
    for n in 2..=6 {
        first.submit(&priority("maite", n - 1, n));
    }
    let entries = first.replica().entries().to_vec();
    let mut replica = Replica::new();
    let gap = replica.offer_entries(&entries[1..]);
    assert_eq!(gap, Answer::Gap { from: Revision(1) });
    replica.offer_entries(&entries[..3]);
    let older = replica.clone();

    let foreign = Entry {
        previous: Digest::genesis(),
        ..entries[3].clone()
    };
    let fork = Answer::Forked { at: Revision(4) };
    assert_eq!(replica.offer_entries(std::slice::from_ref(&foreign)), fork);
    let floor = edit(
        "inaki",
        Revision(3),
        vec![set("o", Key::ConcurrencyFloor, 11)],
    );
    for edit in [floor, priority("inaki", 1, 9)] {
        let invalid = Entry {
            edit,
            ..entries[3].clone()
        };
        let answer = replica.offer_entries(&[invalid]);
        assert!(matches!(answer, Answer::Invalid { .. }), "{answer}");
        assert_eq!(replica.revision(), Revision(3));
    }
    replica.offer_entries(&entries);
    assert_eq!(replica.offer_entries(&[foreign]), fork);
    let offer = Offer::Snapshot(Box::new(older.snapshot().clone()));
    assert_eq!(replica.offer(&offer), Answer::Stale);
    assert_eq!(replica.revision(), Revision(6));
    assert_eq!(replica.after(Revision(6)), None);

    let mut other = writer(&Memory::new());
    other.submit(&layout());
    for n in 2..=7 {
        other.submit(&priority("inaki", n - 1, n));
    }
    let offer = other
        .replica()
        .after(Revision(0))
        .expect("the peer has no entries");
    assert!(matches!(replica.offer(&offer), Answer::Forked { .. }));
    let snapshot = other.replica().snapshot();
    assert!(matches!(
        replica.offer_snapshot(snapshot),
        Answer::Forked { .. }
    ));
    assert_eq!(replica.digest(), first.replica().digest());
    assert_eq!(store.count("revision"), 6);
}
