//! How endpoints of a service are chosen.

use std::time::Duration;

use cactusnotch_route as route;

use super::Fleet;
use super::row::UNRESPONSIVE_TIME;
use crate::configuration::{Engine, Service};

/// The endpoints that are drawn and compared for a request: with all compared,
/// many entries send to the same idlest one at once.
const COMPARED: usize = 3;
/// What a crossing of data centres costs against an empty slot.
const HOP_TIME: Duration = Duration::from_millis(2);
/// How fast a failing endpoint is set aside, and for how long at first.
const FAILURES: u32 = 3;
const EJECTION: Duration = Duration::from_millis(700);
const EJECTION_MAX: Duration = Duration::from_secs(6);

impl Fleet {
    /// Returns how endpoints of a service are chosen.
    pub(super) fn options(&self, service: &Service) -> route::Options {
        let mut options = route::Options {
            choices: COMPARED,
            affinity_width: 0,
            failures: FAILURES,
            ejection: EJECTION,
            ejection_max: EJECTION_MAX,
            ..route::Options::default()
        };
        if let Some(engine) = &service.engine {
            apply_engine(&mut options, engine);
        } else {
            options.nearest = vec![self.data_centre.clone()];
            options.hop_time = HOP_TIME;
        }
        options
    }
}

/// Fits the choice to the pass of a model server: a request that runs costs
/// others part of a step, and one whose prompt waits costs the reading time.
fn apply_engine(options: &mut route::Options, engine: &Engine) {
    let pass = (engine.step + engine.per_request * engine.slots) * engine.stride;
    options.base_time = pass;
    options.token_time = Duration::from_secs_f64(1.0 / engine.read_rate.max(1.0));
    options.report_half_life = REPORT_HALF_LIFE;
    options.report_timeout = Some(UNRESPONSIVE_TIME);
}

/// How fast a load report fades; agents send one four times a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
