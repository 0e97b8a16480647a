//! Seeded traces of expert popularity, rank speed and rank failures.

use cactusnotch_placement::Shape;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// The seed of all traces.
pub const SEED: u64 = 6;
/// The model of all traces.
pub const SHAPE: Shape = Shape {
    layers: 32,
    experts: 64,
};
/// The ranks of the group.
pub const RANKS: u16 = 64;
/// The experts of each layer that a rank holds.
pub const SLOTS: usize = 2;
/// The seconds that a trace lasts.
pub const SECONDS: u64 = 3_600;
/// The tokens that all experts of a layer are given in a step.
pub const TOKENS: f64 = 256.0 * RANKS as f64;
/// The tokens that a rank computes in a second.
pub const SPEED: f64 = 2_000_000.0;
/// The exponent by which popularity falls with the place of an expert.
const ZIPF: f64 = 0.5;

/// What happens in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Popularity drifts with periods of one to three hours.
    Season,
    /// At 900 s three experts a layer grow sixfold within a second and shrink
    /// again over 1,500 s; at 2,700 s others grow fivefold for 15 s only.
    Dispute,
    /// At 900 s, 1,500 s and 2,400 s attention swings within two minutes to
    /// five other experts a layer, which grow eightfold.
    Story,
    /// From 600 s to 2,400 s one rank computes at 0.6 of its speed.
    SlowRank,
    /// Ranks die at 600 s, 1,200 s (two) and 2,400 s, and are replaced empty
    /// after 60 s.
    Deaths,
}

impl Kind {
    /// All kinds, in the order of the tables.
    pub const ALL: [Self; 5] = [
        Self::Season,
        Self::Dispute,
        Self::Story,
        Self::SlowRank,
        Self::Deaths,
    ];

    /// Returns the name in the tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Season => "seasonal-drift",
            Self::Dispute => "dispute-wave",
            Self::Story => "breaking-story",
            Self::SlowRank => "slow-rank",
            Self::Deaths => "rank-deaths",
        }
    }
}

/// One change of the popularity of some experts.
#[derive(Debug, Clone)]
struct Swing {
    /// The factor by which popularity grows.
    factor: f64,
    start: f64,
    /// The seconds until it has grown.
    rise: f64,
    /// The seconds for which it stays.
    stay: f64,
    /// The seconds over which it shrinks by a factor of e.
    fall: f64,
    /// The experts of each layer.
    experts: Vec<Vec<usize>>,
}

impl Swing {
    /// Returns how far the swing has gone at `time`, between zero and one.
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

/// A trace: the true rates at each second, and the faults.
#[derive(Debug, Clone)]
pub struct Trace {
    pub kind: Kind,
    pub seed: u64,
    base: Vec<f64>,
    /// The amplitude, period and phase of each expert's drift.
    drift: Vec<[f64; 3]>,
    swings: Vec<Swing>,
}

impl Trace {
    /// Makes the trace of `kind` from `seed`.
    pub fn new(kind: Kind, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = (0..SHAPE.layers).flat_map(|_| zipf(&mut rng)).collect();
        let amplitude = if kind == Kind::Season { 0.8 } else { 0.1 };
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
        let swings = swings(kind, &mut rng);
        Self {
            kind,
            seed,
            base,
            drift,
            swings,
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
        for swing in &self.swings {
            let growth = 1.0 + (swing.factor - 1.0) * swing.level(time);
            for (layer, experts) in (0..).zip(&swing.experts) {
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

    /// Returns the ranks that die, with the second in which each dies and the
    /// one in which it is replaced.
    pub fn deaths(&self) -> &'static [(usize, u64, u64)] {
        match self.kind {
            Kind::Deaths => &[
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
            Kind::Season => &[],
            Kind::Dispute => &[900, 2_700],
            Kind::Story => &[900, 1_500, 2_400],
            Kind::SlowRank => &[600, 2_400],
            Kind::Deaths => &[600, 660, 1_200, 1_260, 2_400, 2_460],
        }
    }
}

fn zipf(rng: &mut StdRng) -> Vec<f64> {
    let mut rates: Vec<f64> = (1..=SHAPE.experts)
        .map(|n| f64::from(n).powf(-ZIPF))
        .collect();
    rates.shuffle(rng);
    rates
}

fn swings(kind: Kind, rng: &mut StdRng) -> Vec<Swing> {
    let mut swing = |count: usize, factor, start, rise, stay, fall| {
        let mut experts = Vec::new();
        for _ in 0..SHAPE.layers {
            let mut all: Vec<usize> = (0..usize::from(SHAPE.experts)).collect();
            all.shuffle(rng);
            all.truncate(count);
            experts.push(all);
        }
        Swing {
            factor,
            start,
            rise,
            stay,
            fall,
            experts,
        }
    };
    match kind {
        Kind::Dispute => vec![
            swing(3, 6.0, 900.0, 1.0, 0.0, 1_500.0),
            swing(2, 5.0, 2_700.0, 1.0, 15.0, 1.0),
        ],
        Kind::Story => vec![
            swing(5, 8.0, 900.0, 120.0, 480.0, 60.0),
            swing(5, 8.0, 1_500.0, 120.0, 780.0, 60.0),
            swing(5, 8.0, 2_400.0, 120.0, 2_000.0, 60.0),
        ],
        Kind::Season | Kind::SlowRank | Kind::Deaths => Vec::new(),
    }
}
