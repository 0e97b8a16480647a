//! Estimates tolerate lost, delayed and duplicate reports, and distinguish bursts
//! from drift.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers of the tests are small"
)]

use std::time::Duration;

use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_popularity::{Cell, Count, Options, Popularity, Rank, Report, Shape, Share};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SHAPE: Shape = Shape {
    layers: 1,
    experts: 2,
};
const CELL: Cell = Cell {
    layer: 0,
    expert: 0,
};
const STEPS: u32 = 200;

/// Returns a report of a rank that has half of the traffic of one expert.
fn report(rank: u16, sequence: u64, rate: f64) -> Report {
    let tokens = (rate * f64::from(STEPS) / 2.0).round() as u32;
    Report {
        rank: Rank(rank),
        incarnation: Incarnation(1),
        sequence: Sequence(sequence),
        first: Step(sequence * u64::from(STEPS)),
        steps: STEPS,
        busy: Duration::from_secs_f64(f64::from(tokens) / 1e5),
        counts: vec![Count {
            cell: CELL,
            share: Share(Share::WHOLE.0 / 2),
            tokens,
        }],
    }
}

fn observe_rates(rates: impl Iterator<Item = f64>) -> Popularity {
    let mut popularity = Popularity::new(SHAPE, 2, Options::default());
    for (sequence, rate) in (0..).zip(rates) {
        for rank in 0..2 {
            popularity
                .observe(&report(rank, sequence, rate))
                .expect("a new report");
        }
        popularity.update_bursts();
    }
    popularity
}

fn is_close(left: f64, right: f64, tolerance: f64) -> bool {
    (left - right).abs() <= tolerance * right.abs()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The rates depend neither on the order of reports nor on duplicates, and a
    /// lost report does not change a steady rate.
    #[test]
    fn delayed_duplicate_and_lost_reports_do_not_change_a_rate(
        rate in 10.0..500.0_f64,
        order in Just((0..60_u64).collect::<Vec<_>>()).prop_shuffle(),
        lost in proptest::collection::vec(any::<bool>(), 60),
        twice in proptest::collection::vec(any::<bool>(), 60),
    ) {
        let mut straight = Popularity::new(SHAPE, 2, Options::default());
        let mut shuffled = straight.clone();
        let keep = |at: &u64| *at == 59 || !lost[*at as usize];
        for at in (0..60).filter(keep) {
            let rate = rate * (1.0 + at as f64 / 60.0);
            straight.observe(&report(0, at, rate)).expect("a new report");
        }
        for at in order.into_iter().filter(keep) {
            let report = report(0, at, rate * (1.0 + at as f64 / 60.0));
            shuffled.observe(&report).expect("a new report");
            if twice[at as usize] {
                prop_assert!(shuffled.observe(&report).is_err());
            }
        }
        let (a, b) = (straight.rate(CELL).unwrap(), shuffled.rate(CELL).unwrap());
        prop_assert!(is_close(a.fast, b.fast, 1e-9) && is_close(a.slow, b.slow, 1e-9));
        let mut steady = Popularity::new(SHAPE, 2, Options::default());
        for at in (0..60).filter(keep) {
            steady.observe(&report(0, at, rate)).expect("a new report");
        }
        prop_assert!(is_close(steady.rate(CELL).unwrap().fast, rate, 0.01));
    }
}

#[test]
fn a_report_older_than_the_window_is_not_counted() {
    let mut popularity = observe_rates((0..100).map(|_| 50.0));
    assert!(popularity.observe(&report(0, 20, 9_000.0)).is_err());
    assert!(is_close(popularity.rate(CELL).unwrap().slow, 50.0, 0.01));
}

#[test]
fn a_report_of_an_earlier_incarnation_is_not_counted() {
    let mut popularity = observe_rates((0..10).map(|_| 50.0));
    let mut replaced = report(0, 0, 50.0);
    replaced.incarnation = Incarnation(2);
    popularity
        .observe(&replaced)
        .expect("numbers restart in a new incarnation");
    assert!(popularity.observe(&report(0, 11, 9_000.0)).is_err());
}

#[test]
fn a_sudden_rise_is_a_burst_and_a_slow_one_is_not() {
    let sudden = observe_rates((0..610).map(|at| if at < 600 { 100.0 } else { 300.0 }));
    let estimate = sudden.rate(CELL).unwrap();
    assert!(estimate.burst.is_some() && estimate.rate() > 200.0 && estimate.slow < 150.0);
    // The rate triples within two hours.
    let slow = observe_rates((0..7_200).map(|at| 100.0 * (1.0 + f64::from(at) / 3_600.0)));
    let estimate = slow.rate(CELL).unwrap();
    assert!(estimate.burst.is_none() && is_close(estimate.slow, 300.0, 0.05));
    // The rate doubles within twenty minutes, so the slow rate lags far behind.
    let drift = observe_rates((0..1_200).map(|at| 300.0 * (1.0 + f64::from(at) / 1_200.0)));
    let estimate = drift.rate(CELL).unwrap();
    assert!(
        estimate.burst.is_none() && estimate.slow < 560.0,
        "{estimate:?}"
    );
    assert!(is_close(estimate.rate(), 600.0, 0.03), "{estimate:?}");
}

#[test]
fn a_steep_rise_is_extrapolated_and_a_jump_is_not_overshot() {
    // The rate rises eightfold within two minutes; the estimate is read after
    // thirty seconds.
    let rise = |at: i32| 100.0 * (1.0 + 7.0 * f64::from((at - 600).max(0)) / 120.0);
    let estimate = observe_rates((0..630).map(rise)).rate(CELL).unwrap();
    assert!(estimate.fast < 0.95 * rise(630), "the fast rate alone lags");
    assert!(is_close(estimate.rate(), rise(637), 0.1), "{estimate:?}");
    let jump = observe_rates((0..603).map(|at| if at < 600 { 100.0 } else { 600.0 }));
    let rate = jump.rate(CELL).unwrap().rate();
    assert!(rate > 400.0 && rate <= 600.0, "{rate}");
}

#[test]
fn a_burst_ends_and_noise_makes_none() {
    let over = observe_rates((0..900).map(|at| {
        if (600..615).contains(&at) {
            300.0
        } else {
            100.0
        }
    }));
    assert!(over.rate(CELL).unwrap().burst.is_none());
    // Counts that alternate between 80 and 120 from the start are noise.
    let noisy = observe_rates((0..900).map(|at| if at % 2 == 0 { 80.0 } else { 120.0 }));
    let estimate = noisy.rate(CELL).unwrap();
    assert!(estimate.burst.is_none());
    let steady = observe_rates((0..900).map(|_| 100.0)).rate(CELL).unwrap();
    assert!(estimate.fast_deviation > 2.0 * steady.fast_deviation);
}

#[test]
fn a_slow_rank_is_found_through_noise_and_few_tokens() {
    let mut popularity = Popularity::new(SHAPE, 3, Options::default());
    for sequence in 0..40 {
        for rank in 0..2 {
            let mut report = report(rank, sequence, 100.0);
            let noise = [1.0, 1.0, 1.0, 30.0, 1.0, 0.2, 1.0][sequence as usize % 7];
            let factor = if rank == 1 { 2.0 } else { 1.0 };
            let factor = factor * noise;
            report.busy = report.busy.mul_f64(factor);
            popularity.observe(&report).expect("a new report");
        }
    }
    let speeds = popularity.speeds();
    assert!(
        is_close(speeds[0], 1e5, 0.01) && is_close(speeds[1], 5e4, 0.01),
        "{speeds:?}"
    );
    assert!(speeds[2] > 0.0, "a rank without reports has a usual speed");
}
