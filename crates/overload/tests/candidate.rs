//! The draw among groups.

use cactusnotch_overload::candidate::{Candidate, draw};
use rand::SeedableRng;
use rand::rngs::StdRng;

const DRAWS: u32 = 10_000;

/// The room and preference of each group, and the expected fractions of the draws.
type Case = (&'static [(u32, bool)], &'static [f64]);

/// Guards against requests of many entries that all go to the group with the most room, that
/// go to groups without room, or to slow ones while others have room.
#[test]
fn groups_are_drawn_in_proportion_to_their_room() {
    let cases: [Case; 6] = [
        (&[], &[]),
        (&[(0, true), (0, false)], &[0.0, 0.0]),
        (&[(3, true), (1, true)], &[0.75, 0.25]),
        (&[(8, true), (1, true), (1, true)], &[0.8, 0.1, 0.1]),
        (&[(1, true), (9, false)], &[1.0, 0.0]),
        (&[(0, true), (1, false), (3, false)], &[0.0, 0.25, 0.75]),
    ];
    let mut rng = StdRng::seed_from_u64(7);
    for (groups, expected) in cases {
        let candidate = |&(room, is_preferred): &(u32, bool)| Candidate { room, is_preferred };
        let candidates: Vec<_> = groups.iter().map(candidate).collect();
        let mut drawn = vec![0_u32; groups.len()];
        for _ in 0..DRAWS {
            if let Some(at) = draw(&candidates, &mut rng) {
                drawn[at] += 1;
            }
        }
        for (drawn, expected) in drawn.iter().zip(expected) {
            let fraction = f64::from(*drawn) / f64::from(DRAWS);
            assert!((fraction - expected).abs() < 0.02, "{groups:?}: {fraction}");
        }
    }
}
