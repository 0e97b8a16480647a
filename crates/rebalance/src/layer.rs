//! One set of layers with the loads of its ranks.

use crate::Shape;
use crate::map::Move;
use crate::plan::Candidate;

/// The busiest ranks that are relieved, the idlest that take over, and the
/// hottest experts of a rank that are looked at. More bring little: the peak
/// is made by few, and a plan has to be done within some milliseconds.
const SOURCES: usize = 3;
const TARGETS: usize = 8;
const HOTTEST: usize = 6;

/// One set of layers with the loads of its ranks: the time that each needs, where
/// one is that of an even share at the usual pace.
///
/// The peak is a power mean of the loads. It is close to the greatest load,
/// and unlike it falls also when one of several equally busy ranks is
/// relieved, so that the search doesn't stop there.
#[derive(Debug, Clone)]
pub(crate) struct Layer {
    set: u16,
    ranks: Vec<Vec<u16>>,
    weights: Vec<f64>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    loads: Vec<f64>,
    /// How many times longer than usual each rank takes.
    paces: Vec<f64>,
    /// The loads to the power of the mean.
    powers: Vec<f64>,
    /// The sum of the powers.
    power_sum: f64,
    new: Vec<usize>,
}

/// Returns a load to the power of the mean, the eighth.
fn power(load: f64) -> f64 {
    let square = load * load;
    let fourth = square * square;
    fourth * fourth
}

fn peak(powers: f64) -> f64 {
    powers.max(0.0).sqrt().sqrt().sqrt()
}

fn number(value: usize) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

fn float(value: usize) -> f64 {
    f64::from(number(value))
}

impl Layer {
    pub(crate) fn new(set: usize, ranks: &[Vec<u16>], counts: &[f64], paces: &[f64]) -> Self {
        let mut holders = vec![Vec::new(); counts.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for &expert in experts {
                holders[usize::from(expert)].push(number(rank));
            }
        }
        let total: f64 = counts.iter().sum();
        let unit = if total > 0.0 {
            float(ranks.len()) / total
        } else {
            0.0
        };
        let mut layer = Self {
            set: number(set),
            ranks: ranks.to_vec(),
            weights: counts.iter().map(|count| count * unit).collect(),
            holders,
            loads: vec![0.0; ranks.len()],
            paces: paces.to_vec(),
            powers: vec![0.0; ranks.len()],
            power_sum: 0.0,
            new: vec![0; ranks.len()],
        };
        layer.sum();
        layer
    }

    /// Returns the busiest rank's load, if there is any.
    pub(crate) fn skew(&self) -> Option<f64> {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        (most > 0.0).then_some(most)
    }

    pub(crate) fn carry_out(&mut self, step: &Move) {
        let rank = usize::from(step.rank);
        if let Some(out) = step.out {
            self.ranks[rank].retain(|&expert| expert != out);
            self.holders[usize::from(out)].retain(|&holder| holder != step.rank);
        }
        if let Some(new) = step.new {
            self.ranks[rank].push(new);
            self.ranks[rank].sort_unstable();
            self.holders[usize::from(new)].push(step.rank);
            self.new[rank] += 1;
        }
        self.sum();
    }

    /// Returns what each holder of an expert does of its work.
    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.weights[expert] / float(self.holders[expert].len().max(1))
    }

    fn sum(&mut self) {
        for rank in 0..self.ranks.len() {
            let shares = self.ranks[rank].iter().map(|&expert| self.share(expert));
            self.loads[rank] = self.paces[rank] * shares.sum::<f64>();
        }
        for (powered, &load) in self.powers.iter_mut().zip(&self.loads) {
            *powered = power(load);
        }
        self.power_sum = self.powers.iter().sum();
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.holders[usize::from(expert)].contains(&number(rank))
    }

    /// Returns the change that brings most for each copy, at least `least`.
    pub(crate) fn best(&self, room: &[usize], shape: &Shape, least: f64) -> Option<Candidate> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|&a, &b| self.loads[b].total_cmp(&self.loads[a]));
        let open = |rank: usize| room[rank] > 0 && self.new[rank] < shape.spare;
        let targets: Vec<_> = order
            .iter()
            .rev()
            .copied()
            .filter(|&rank| open(rank))
            .take(TARGETS)
            .collect();
        let mut best: Option<Candidate> = None;
        for &source in order.iter().take(SOURCES) {
            for hot in self.hottest(source) {
                if let Some(candidate) = self.surplus(source, hot, least)
                    && best.is_none_or(|best| candidate.gain > best.gain)
                {
                    best = Some(candidate);
                }
                let takers = targets.iter().copied();
                let takers = takers.filter(|&rank| {
                    self.loads[rank] < self.loads[source] && !self.holds(rank, hot)
                });
                for target in takers {
                    self.offers(source, target, hot, open(source), shape, |candidate| {
                        if candidate.gain >= least
                            && best.is_none_or(|best| candidate.gain > best.gain)
                        {
                            best = Some(candidate);
                        }
                    });
                }
            }
        }
        best
    }

    /// Returns the change that `rank` gives up `expert`, which others hold too, if
    /// that is worth as much as a copy has to be: a copy may have been paid for, and
    /// would have to be made again.
    fn surplus(&self, rank: usize, expert: u16, least: f64) -> Option<Candidate> {
        if self.holders[usize::from(expert)].len() < 2 {
            return None;
        }
        let change = Change::new(self, expert, -1);
        let mut power_sum = self.power_sum;
        for &holder in &self.holders[usize::from(expert)] {
            let holder = usize::from(holder);
            let more = change.on(true, false, holder == rank);
            power_sum +=
                power(self.loads[holder] + self.paces[holder] * more) - self.powers[holder];
        }
        let gain = peak(self.power_sum) - peak(power_sum);
        let first = Move {
            set: self.set,
            rank: number(rank),
            out: Some(expert),
            new: None,
        };
        (gain >= least).then_some(Candidate {
            first,
            second: None,
            gain,
        })
    }

    fn hottest(&self, rank: usize) -> Vec<u16> {
        let mut experts = self.ranks[rank].clone();
        experts.sort_by(|&a, &b| self.share(b).total_cmp(&self.share(a)));
        experts.truncate(HOTTEST);
        experts
    }

    /// Offers the changes that bring `hot` from `source` to `target`: a copy
    /// in a free place or in that of an expert held elsewhere too, or an
    /// exchange.
    fn offers(
        &self,
        source: usize,
        target: usize,
        hot: u16,
        exchange: bool,
        shape: &Shape,
        mut offer: impl FnMut(Candidate),
    ) {
        let bring = |out| Move {
            set: self.set,
            rank: number(target),
            out,
            new: Some(hot),
        };
        if self.ranks[target].len() < shape.places {
            let first = bring(None);
            offer(Candidate {
                first,
                second: None,
                gain: self.gain(target, None, hot, None),
            });
            return;
        }
        for &out in &self.ranks[target] {
            let first = bring(Some(out));
            if self.holders[usize::from(out)].len() > 1 {
                offer(Candidate {
                    first,
                    second: None,
                    gain: self.gain(target, None, hot, Some(out)),
                });
            }
            if exchange && !self.holds(source, out) {
                let second = Move {
                    set: self.set,
                    rank: number(source),
                    out: Some(hot),
                    new: Some(out),
                };
                let gain = self.gain(target, Some(source), hot, Some(out)) / 2.0;
                offer(Candidate {
                    first,
                    second: Some(second),
                    gain,
                });
            }
        }
    }

    /// Returns what it takes off the peak if `target` gets `hot` and gives up
    /// `out`, which goes to `source` in exchange if that is given.
    ///
    /// Only the holders of the two experts are looked at, a few of the ranks: a
    /// plan tries some ten thousand changes on a small part of a core, and the
    /// group is uneven until it is made.
    fn gain(&self, target: usize, source: Option<usize>, hot: u16, out: Option<u16>) -> f64 {
        let exchange = source.is_some();
        // Of an exchange the number of holders stays as it is.
        let hot_change = Change::new(self, hot, i64::from(!exchange));
        let out_change = out.map(|out| (out, Change::new(self, out, -i64::from(!exchange))));
        let mut power_sum = self.power_sum;
        let mut look = |rank: usize| {
            let (gets, gives) = (rank == target, source == Some(rank));
            let mut more = hot_change.on(self.holds(rank, hot), gets, gives);
            if let Some((out, change)) = &out_change {
                more += change.on(self.holds(rank, *out), gives, gets);
            }
            let load = self.loads[rank] + self.paces[rank] * more;
            power_sum += power(load) - self.powers[rank];
        };
        let holders = |expert: u16| self.holders[usize::from(expert)].iter().copied();
        holders(hot).map(usize::from).for_each(&mut look);
        match out {
            // The target holds what it gives up.
            Some(out) => holders(out)
                .map(usize::from)
                .filter(|&rank| !self.holds(rank, hot))
                .for_each(&mut look),
            None => look(target),
        }
        peak(self.power_sum) - peak(power_sum)
    }
}

/// The share of an expert before and after a change.
struct Change {
    before: f64,
    after: f64,
}

impl Change {
    fn new(layer: &Layer, expert: u16, holders: i64) -> Self {
        let count = u32::from(number(layer.holders[usize::from(expert)].len()));
        let weight = layer.weights[usize::from(expert)];
        let share = |count: u32| weight / f64::from(count.max(1));
        let after = u32::try_from(i64::from(count) + holders).unwrap_or(0);
        Self {
            before: share(count),
            after: share(after),
        }
    }

    /// Returns what changes for a rank that holds the expert or not, and gets
    /// it or gives it up.
    fn on(&self, holds: bool, gets: bool, gives: bool) -> f64 {
        let before = if holds { self.before } else { 0.0 };
        let after = if (holds && !gives) || gets {
            self.after
        } else {
            0.0
        };
        after - before
    }
}
