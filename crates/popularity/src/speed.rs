//! The speed of a rank.

use std::time::Duration;

/// The number of samples kept; the speed is their median.
const SAMPLES: usize = 15;

/// The latest samples of a rank's speed in tokens per second of busy time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Speed {
    samples: [f64; SAMPLES],
    count: usize,
}

impl Speed {
    /// Adds a sample: `tokens` were processed in `busy`.
    #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
    pub(crate) fn observe(&mut self, tokens: u64, busy: Duration) {
        if tokens == 0 || busy.is_zero() {
            return;
        }
        self.samples[self.count % SAMPLES] = tokens as f64 / busy.as_secs_f64();
        self.count += 1;
    }

    /// Returns the median of the samples, or `None` if there are none.
    pub(crate) fn median(&self) -> Option<f64> {
        let kept = self.count.min(SAMPLES);
        let mut sorted = self.samples;
        let sorted = &mut sorted[..kept];
        sorted.sort_by(f64::total_cmp);
        sorted.get(kept / 2).copied()
    }
}
