//! Estimates the rate at which an entry's requests for a service complete.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The time over which completions are counted, slightly more than the longest streams last.
const WINDOW: Duration = Duration::from_secs(2);
/// The number of buckets that a window is divided into.
const BUCKETS: usize = 8;
/// The length of a bucket, in milliseconds.
const BUCKET_MS: u128 = WINDOW.as_millis() / BUCKETS as u128;
/// The shortest service time that is assumed: requests that fail at once say nothing about how
/// fast others complete.
const SERVICE_TIME_MIN: Duration = Duration::from_millis(250);
/// The time that a request is assumed to run until one has ended: streams last 1.3 to 1.9 s.
const SERVICE_TIME_INITIAL: Duration = Duration::from_millis(1_500);
/// The weight of a completed request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 16.0;
/// The least number of completions in the window from which a rate is predicted. An entry with
/// fewer mostly starts requests on capacity that other entries' requests free.
const COMPLETIONS_MIN: f64 = 4.0;
/// The number of standard deviations by which the number of completions may exceed its
/// estimate: in doubt, a request waits.
const DEVIATIONS: f64 = 2.0;

/// The completions within a bucket of time.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// The number of the bucket since the start of the record.
    number: usize,
    completions: u32,
}

/// A record of an entry's running and completed requests for a service.
#[derive(Debug)]
pub(crate) struct Drain {
    began: Instant,
    buckets: [Bucket; BUCKETS],
    running: u32,
    service_time: Duration,
}

impl Drain {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            began: now,
            buckets: Default::default(),
            running: 0,
            service_time: SERVICE_TIME_INITIAL,
        }
    }

    pub(crate) const fn record_start(&mut self) {
        self.running += 1;
    }

    /// Records the end of a request that ran for `ran`, `None` if it never reached an
    /// endpoint.
    pub(crate) fn record_end(&mut self, ran: Option<Duration>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let Some(ran) = ran else {
            return;
        };
        let known = self.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT);
        self.service_time = known + ran.mul_f64(SERVICE_TIME_WEIGHT);
        let number = self.number(now);
        let bucket = &mut self.buckets[number % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                completions: 0,
            };
        }
        bucket.completions += 1;
    }

    /// Returns the highest plausible rate, in requests per second; `None` if there are too few
    /// requests to predict one.
    pub(crate) fn highest(&self, now: Instant) -> Option<f64> {
        let completions = self.completions(now);
        let highest = completions + DEVIATIONS * completions.sqrt();
        (completions >= COMPLETIONS_MIN).then(|| highest / WINDOW.as_secs_f64())
    }

    /// Returns the number of completions in a window: the counted ones, or those to be expected
    /// of the running requests if these are more.
    fn completions(&self, now: Instant) -> f64 {
        let current = self.number(now);
        let recent = |bucket: &&Bucket| current.saturating_sub(bucket.number) < BUCKETS;
        let counted: u32 = self
            .buckets
            .iter()
            .filter(recent)
            .map(|bucket| bucket.completions)
            .sum();
        let service_time = self.service_time.max(SERVICE_TIME_MIN).as_secs_f64();
        let due = f64::from(self.running) * WINDOW.as_secs_f64() / service_time;
        f64::from(counted).max(due)
    }

    /// Returns the number of the bucket that `now` belongs to.
    fn number(&self, now: Instant) -> usize {
        let passed = now.saturating_duration_since(self.began).as_millis() / BUCKET_MS;
        usize::try_from(passed).unwrap_or(usize::MAX)
    }
}
