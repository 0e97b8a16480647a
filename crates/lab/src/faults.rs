//! A trial of real processes under faults.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cactusnotch_standins::engine;

use crate::trial::{self, Report};
use crate::{Failure, Injector, Operator, Site};

/// How long the system may take until it serves.
const PATIENCE: Duration = Duration::from_secs(30);

/// Runs a trial on `entries` entries and `engines` engines, with faults from
/// its seed until all requests are done.
///
/// # Errors
///
/// Fails if a process does not start.
pub fn run(
    options: &trial::Options,
    entries: usize,
    engines: usize,
) -> Result<(Report, Injector), Failure> {
    let engine = engine::Options {
        slots: 16,
        queue: 256,
        ..engine::Options::default()
    };
    let mut site = Site::start(entries, engines, &engine, options.seed)?;
    let mut operator = Operator::new(&site.operator_options());
    operator.declare(&options.organisation, &options.model, engines)?;
    for address in site.operators()? {
        operator.wait(address, PATIENCE, |status| status.serving() == engines)?;
    }
    let addresses = site.callers();
    let is_done = AtomicBool::new(false);
    let mut injector = Injector::new(options.seed);
    let answers = std::thread::scope(|scope| {
        let callers = scope.spawn(|| {
            let answers = trial::run(options, &addresses);
            is_done.store(true, Ordering::Relaxed);
            answers
        });
        while !is_done.load(Ordering::Relaxed) {
            injector.round(&mut site)?;
        }
        callers
            .join()
            .map_err(|_| Failure::new("callers", "one panicked"))
    })?;
    Ok((answers.compare(&site.engines), injector))
}
