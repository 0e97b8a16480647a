//! Seeded traces of expert popularity, rank speed and rank failures.

use cactusnotch_placement::Shape;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// The seed of all traces.
pub const SEED: u64 = 6;
/// The shape of the model in all traces.
pub const SHAPE: Shape = Shape {
    layers: 32,
    experts: 64,
};
/// The number of ranks of the group.
pub const RANKS: u16 = 64;
/// The number of experts per layer that a rank holds.
pub const SLOTS: usize = 2;
/// The duration of a trace in seconds.
pub const SECONDS: u64 = 3_600;
/// The tokens per step of all experts of a layer.
pub const TOKENS: f64 = 256.0 * RANKS as f64;
/// The speed of a rank in tokens per second.
pub const SPEED: f64 = 2_000_000.0;
/// The exponent by which popularity falls with the position in the order of experts.
const ZIPF_EXPONENT: f64 = 0.5;

/// The scenario of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Popularity drifts with periods of one to three hours.
    SeasonalDrift,
    /// At 900 s the load of three experts per layer grows sixfold within a
    /// second and decays over 1,500 s; at 2,700 s the load of two others grows
    /// fivefold for 15 s.
    DisputeWave,
    /// At 900 s, 1,500 s and 2,400 s demand shifts within two minutes to five
    /// other experts per layer, whose load grows eightfold.
    BreakingStory,
    /// From 600 s to 2,400 s one rank runs at 0.6 of its speed.
    SlowRank,
    /// Ranks crash at 600 s, 1,200 s (two) and 2,400 s, and are replaced by
    /// empty ones after 60 s.
    Failures,
}

impl Kind {
    /// All kinds, in the order of the tables.
    pub const ALL: [Self; 5] = [
        Self::SeasonalDrift,
        Self::DisputeWave,
        Self::BreakingStory,
        Self::SlowRank,
        Self::Failures,
    ];

    /// Returns the name in the tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SeasonalDrift => "seasonal-drift",
            Self::DisputeWave => "dispute-wave",
            Self::BreakingStory => "breaking-story",
            Self::SlowRank => "slow-rank",
            Self::Failures => "rank-deaths",
        }
    }
}

/// A temporary increase of the popularity of some experts.
#[derive(Debug, Clone)]
struct Surge {
    /// The factor by which popularity grows.
    factor: f64,
    start: f64,
    /// The seconds until the full factor is reached.
    rise: f64,
    /// The seconds for which the full factor lasts.
    stay: f64,
    /// The seconds in which the increase then decays by a factor of e.
    fall: f64,
    /// The experts of each layer.
    experts: Vec<Vec<usize>>,
}

impl Surge {
    /// Returns the fraction of the increase that is reached at `time`, between
    /// zero and one.
    fn level(&self, time: f64) -> f64 {
        let since = time - self.start;
        if since <= 0.0 {
            0.0
        } else if since < self.rise {
            since / self.rise
        } else {
            (-(since - self.rise - self.stay).max(0.0) / self.fall).exp()
        }
    }
}

/// A trace: the true rates in each second, and the faults.
#[derive(Debug, Clone)]
pub struct Trace {
    pub kind: Kind,
    pub seed: u64,
    base: Vec<f64>,
    /// The amplitude, period and phase of each expert's drift.
    drift: Vec<[f64; 3]>,
    surges: Vec<Surge>,
}

impl Trace {
    /// Generates the trace of `kind` from `seed`.
    pub fn new(kind: Kind, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = (0..SHAPE.layers).flat_map(|_| zipf(&mut rng)).collect();
        let amplitude = if kind == Kind::SeasonalDrift {
            0.8
        } else {
            0.1
        };
        let drift = (0..SHAPE.cells())
            .map(|_| {
                let period = rng.random_range(3_600.0..10_800.0);
                [
                    amplitude,
                    period,
                    rng.random_range(0.0..std::f64::consts::TAU),
                ]
            })
            .collect();
        let surges = surges(kind, &mut rng);
        Self {
            kind,
            seed,
            base,
            drift,
            surges,
        }
    }

    /// Returns the tokens per step of each expert at `second`.
    pub fn rates(&self, second: u64) -> Vec<f64> {
        let time = second as f64;
        let wave = |[amplitude, period, phase]: &[f64; 3]| {
            (amplitude * (std::f64::consts::TAU * time / period + phase).sin()).exp()
        };
        let mut rates: Vec<f64> = self
            .base
            .iter()
            .zip(&self.drift)
            .map(|(b, d)| b * wave(d))
            .collect();
        for surge in &self.surges {
            let growth = 1.0 + (surge.factor - 1.0) * surge.level(time);
            for (layer, experts) in (0..).zip(&surge.experts) {
                let start = SHAPE.layer(layer).start;
                for expert in experts {
                    rates[start + expert] *= growth;
                }
            }
        }
        for layer in 0..SHAPE.layers {
            let rates = &mut rates[SHAPE.layer(layer)];
            let sum: f64 = rates.iter().sum();
            for rate in rates {
                *rate *= TOKENS / sum;
            }
        }
        rates
    }

    /// Returns the tokens per second of each rank at `second`.
    pub fn speeds(&self, second: u64) -> Vec<f64> {
        let mut speeds = vec![SPEED; usize::from(RANKS)];
        if self.kind == Kind::SlowRank && (600..2_400).contains(&second) {
            speeds[7] *= 0.6;
        }
        speeds
    }

    /// Returns the ranks that crash, with the second in which each crashes and
    /// the one in which it is replaced.
    pub fn failures(&self) -> &'static [(usize, u64, u64)] {
        match self.kind {
            Kind::Failures => &[
                (3, 600, 660),
                (20, 1_200, 1_260),
                (41, 1_200, 1_260),
                (9, 2_400, 2_460),
            ],
            _ => &[],
        }
    }

    /// Returns the seconds in which a burst, a slowdown or a failure begins.
    pub fn onsets(&self) -> &'static [u64] {
        match self.kind {
            Kind::SeasonalDrift => &[],
            Kind::DisputeWave => &[900, 2_700],
            Kind::BreakingStory => &[900, 1_500, 2_400],
            Kind::SlowRank => &[600, 2_400],
            Kind::Failures => &[600, 660, 1_200, 1_260, 2_400, 2_460],
        }
    }
}

fn zipf(rng: &mut StdRng) -> Vec<f64> {
    let mut rates: Vec<f64> = (1..=SHAPE.experts)
        .map(|n| f64::from(n).powf(-ZIPF_EXPONENT))
        .collect();
    rates.shuffle(rng);
    rates
}

fn surges(kind: Kind, rng: &mut StdRng) -> Vec<Surge> {
    let mut surge = |count: usize, factor, start, rise, stay, fall| {
        let mut experts = Vec::new();
        for _ in 0..SHAPE.layers {
            let mut all: Vec<usize> = (0..usize::from(SHAPE.experts)).collect();
            all.shuffle(rng);
            all.truncate(count);
            experts.push(all);
        }
        Surge {
            factor,
            start,
            rise,
            stay,
            fall,
            experts,
        }
    };
    match kind {
        Kind::DisputeWave => vec![
            surge(3, 6.0, 900.0, 1.0, 0.0, 1_500.0),
            surge(2, 5.0, 2_700.0, 1.0, 15.0, 1.0),
        ],
        Kind::BreakingStory => vec![
            surge(5, 8.0, 900.0, 120.0, 480.0, 60.0),
            surge(5, 8.0, 1_500.0, 120.0, 780.0, 60.0),
            surge(5, 8.0, 2_400.0, 120.0, 2_000.0, 60.0),
        ],
        Kind::SeasonalDrift | Kind::SlowRank | Kind::Failures => Vec::new(),
    }
}
