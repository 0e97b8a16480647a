//! What an entry knows of endpoints never skips a change, whatever it is told.

use cactusnotch_gateway::progress::Progress;
use cactusnotch_gateway::store::Revision;
use proptest::prelude::*;

#[test]
fn changes_are_taken_only_if_none_is_missing_before_them() {
    let mut progress = Progress::default();
    progress.know(Revision(10));
    assert!(!progress.is_behind());
    assert!(progress.continues(Revision(10), Revision(12)));
    assert!(
        progress.continues(Revision(7), Revision(12)),
        "some are known already"
    );
    assert!(
        !progress.continues(Revision(11), Revision(12)),
        "one may be missing"
    );
    assert!(
        !progress.continues(Revision(7), Revision(10)),
        "nothing is new"
    );
}

proptest! {
    /// Batches of changes arrive in any order, late, doubled or not at all:
    /// what is known is always a prefix of what has changed.
    #[test]
    fn what_is_known_is_complete(
        batches in proptest::collection::vec((0_u64..40, 1_u64..6), 0..60),
        changed in proptest::collection::vec(any::<bool>(), 48),
    ) {
        let mut progress = Progress::default();
        let mut seen = vec![false; changed.len()];
        for (from, length) in batches {
            let to = from + length;
            if progress.continues(Revision(from), Revision(to)) {
                for at in from + 1..=to {
                    seen[usize::try_from(at).expect("small")] = true;
                }
                progress.know(Revision(to));
            } else {
                progress.reach(Revision(to));
            }
            let known = usize::try_from(progress.known().0).expect("small");
            let missing = (1..=known).find(|&at| changed[at] && !seen[at]);
            prop_assert_eq!(missing, None);
            prop_assert_eq!(progress.is_behind(), progress.known() < progress.reached());
        }
    }
}

#[test]
fn an_answer_that_others_have_outrun_takes_nothing_back() {
    let mut progress = Progress::default();
    progress.know(Revision(10));
    // A watch from 10 is answered at 11 while a datagram brings all up to 12.
    assert!(progress.continues(Revision(10), Revision(12)));
    progress.know(Revision(12));
    assert!(!progress.continues(Revision(10), Revision(11)));
}
