//! What an agent completes for a leader that has become unresponsive.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_rebalance::Slowdown;
use cactusnotch_rebalance::codec::Order;
use cactusnotch_rebalance::message::{Phase, Round, Status};
use cactusnotch_rebalance::state::{Maps, Place};
use cactusnotch_rebalance::takeover::Takeover;

const VERSION: u64 = 7;
/// The last pass that the leader of the round may have released.
const RELEASED: u64 = 11;

fn place(rank: u16) -> Place {
    Place {
        group: "g".to_owned(),
        epoch: 1,
        rank,
        size: 2,
    }
}

fn round() -> Round {
    Round {
        group: "g".to_owned(),
        epoch: 1,
        term: 3,
        version: VERSION,
        base: 0,
        moves: Vec::new(),
        phase: Phase::Commit,
        released: RELEASED,
        asks_held: false,
        limit: None,
    }
}

/// Returns what rank 1 makes of a leader that has been unresponsive for long and whose endpoint
/// is held before the pass `held`, once all ranks have confirmed that hold.
fn complete(held: u64) -> (Option<Phase>, Option<Order>) {
    let (now, long) = (clock::now(), Duration::from_secs(1));
    let mut takeover = Takeover::default();
    let own = Maps {
        step: 10,
        prepared: Some(VERSION),
        ..Maps::default()
    };
    let round = round();
    takeover.observe(&place(1), Some(&round), &own, long, now);
    let must_complete = takeover.observe(&place(1), Some(&round), &own, long, now + long);
    assert!(must_complete);
    takeover.record(&Status {
        place: place(1),
        open: true,
        maps: own,
        pace: Slowdown::default(),
        fill: 50,
        term: Some(3),
        met: Some(held),
        heard: None,
        known: None,
        held: None,
    });
    let leader = Maps {
        held: Some(held),
        ..own
    };
    let followed = takeover.round(&round, &leader).map(|round| round.phase);
    (followed, takeover.order(&leader))
}

/// Guards against ranks that are armed for a hold which the leader has released by an order that
/// is carried out late.
#[test]
fn a_hold_that_the_leader_may_have_released_is_not_completed() {
    assert_eq!(complete(RELEASED), (None, None));
    let (version, step) = (VERSION, RELEASED + 1);
    let arm = Order::Arm { version, step };
    assert_eq!(complete(step), (Some(Phase::Meet { step }), Some(arm)));
}
