//! Real processes under faults, in short; `examples/faults.rs` is the long
//! run.

use cactusnotch_lab::{faults, trial};

#[test]
fn faults_make_no_request_run_twice_and_no_refusal_false() {
    let options = trial::Options {
        organisation: "palmetto".to_owned(),
        model: "letters".to_owned(),
        requests: 1_500,
        callers: 24,
        tokens: 8,
        tickets: 0.3,
        seed: 3,
    };
    let (report, injector) = faults::run(&options, 2, 3).unwrap();
    println!("{injector}\n{report}");
    assert!(report.is_clean(), "{injector}\n{report}");
    assert!(report.whole > report.requests / 2, "{injector}\n{report}");
}
