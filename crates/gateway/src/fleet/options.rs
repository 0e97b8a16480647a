//! The router options of a service.

use std::time::Duration;

use cactusnotch_route as route;

use super::Fleet;
use super::row::UNRESPONSIVE_TIME;
use crate::configuration::{Engine, Service};

/// Number of endpoints drawn at random and compared for a request. If all were
/// compared, many entries would send to the same least loaded endpoint at once.
const COMPARED: usize = 3;
/// Cost of crossing data centres, compared with waiting for a free slot.
const HOP_TIME: Duration = Duration::from_millis(2);
/// Number of consecutive failures after which an endpoint is ejected, and for
/// how long: at first, and at most.
const FAILURES: u32 = 3;
const EJECTION: Duration = Duration::from_millis(700);
const EJECTION_MAX: Duration = Duration::from_secs(6);

impl Fleet {
    /// Returns the router options of a service.
    pub(super) fn options(&self, service: &Service) -> route::Options {
        let mut options = route::Options {
            sample_size: COMPARED,
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

/// Sets the cost model from the forward pass of a model server: a running
/// request costs the others part of a step, and one with a waiting prompt costs
/// its processing time.
fn apply_engine(options: &mut route::Options, engine: &Engine) {
    let pass = (engine.step + engine.per_request * engine.slots) * engine.stride;
    options.base_time = pass;
    options.token_time = Duration::from_secs_f64(1.0 / engine.read_rate.max(1.0));
    options.report_half_life = REPORT_HALF_LIFE;
    options.report_timeout = Some(UNRESPONSIVE_TIME);
}

/// Half-life of a load report's weight; agents send four per second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
