//! An entry never skips a change of endpoints, in whatever order changes arrive.

use cactusnotch_position::{Era, Position, Progress};
use proptest::prelude::*;

/// Returns the position of `revision` in the first era.
const fn at(revision: u64) -> Position {
    Position::new(Era(0), revision)
}

#[test]
fn changes_are_taken_only_if_none_is_missing_before_them() {
    let mut progress = Progress::default();
    progress.advance(at(10));
    assert!(!progress.is_behind());
    assert!(progress.continues(at(10), at(12)));
    assert!(
        progress.continues(at(7), at(12)),
        "some were applied already"
    );
    assert!(!progress.continues(at(11), at(12)), "one may be missing");
    assert!(!progress.continues(at(7), at(10)), "nothing is new");
}

proptest! {
    /// Batches of changes arrive in any order, late, duplicated or not at all:
    /// the applied changes are always a prefix of all changes.
    #[test]
    fn what_is_known_is_complete(
        batches in proptest::collection::vec((0_u64..40, 1_u64..6), 0..60),
        changed in proptest::collection::vec(any::<bool>(), 48),
    ) {
        let mut progress = Progress::default();
        let mut seen = vec![false; changed.len()];
        for (from, length) in batches {
            let to = from + length;
            if progress.continues(at(from), at(to)) {
                for change in from + 1..=to {
                    seen[usize::try_from(change).expect("small")] = true;
                }
                progress.advance(at(to));
            } else {
                progress.record_reached(at(to));
            }
            let known = (0..changed.len()).find(|&known| at(known as u64) == progress.known());
            let known = known.expect("the position is in the tested range");
            let missing = (1..=known).find(|&at| changed[at] && !seen[at]);
            prop_assert_eq!(missing, None);
            prop_assert_eq!(progress.is_behind(), progress.known() < progress.reached());
        }
    }
}

#[test]
fn a_late_answer_does_not_reduce_the_progress() {
    let mut progress = Progress::default();
    progress.advance(at(10));
    // A watch from 10 is answered with changes up to 11 while a datagram delivers
    // all changes up to 12.
    assert!(progress.continues(at(10), at(12)));
    progress.advance(at(12));
    assert!(!progress.continues(at(10), at(11)));
}

#[test]
fn positions_of_two_eras_are_in_no_order() {
    let (before, after) = (Position::new(Era(1), 50), Position::new(Era(2), 20));
    assert_eq!(before.partial_cmp(&after), None);
    assert_ne!(Position::new(Era(1), 20), after);
}

#[test]
fn progress_of_an_ended_era_does_not_continue_in_the_next() {
    let mut progress = Progress::default();
    progress.advance(Position::new(Era(1), 50));
    let again = Position::new(Era(2), 40);
    assert!(!progress.continues(Position::new(Era(2), 30), again));
    progress.record_reached(again);
    assert!(!progress.is_behind(), "the era was not observed yet");
    progress.advance(Position::new(Era(2), 30));
    assert_eq!(progress.known(), Position::new(Era(2), 30));
    progress.record_reached(again);
    assert!(progress.is_behind());
    assert!(progress.continues(Position::new(Era(2), 30), again));
    progress.advance(Position::new(Era(1), 60));
    assert_eq!(
        progress.known(),
        Position::new(Era(2), 30),
        "a late answer of the earlier era"
    );
}
