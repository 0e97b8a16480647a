//! One set of layers with the loads of its ranks.

use crate::Shape;
use crate::map::Move;
use crate::plan::Candidate;

/// The number of busiest ranks to relieve, of least loaded ranks to receive work, and of
/// most used experts of a rank that are tried. More bring little: the peak comes from few,
/// and a plan has to be computed within some milliseconds.
const SOURCES: usize = 3;
const TARGETS: usize = 8;
const EXPERTS: usize = 6;

/// One set of layers with the loads of its ranks: the time that each needs, where 1 is that
/// of an even share at normal speed.
///
/// The peak is a power mean of the loads. It is close to the greatest load, but it also
/// falls when one of several equally busy ranks is relieved, which keeps the search from
/// stopping there.
#[derive(Debug, Clone)]
pub(crate) struct Layer {
    set: u16,
    ranks: Vec<Vec<u16>>,
    weights: Vec<f64>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    loads: Vec<f64>,
    /// The slowdown factor of each rank.
    slowdowns: Vec<f64>,
    /// The loads raised to the power of the mean.
    powers: Vec<f64>,
    /// The sum of the powers.
    power_sum: f64,
    copies: Vec<usize>,
}

/// Returns a load raised to the power of the mean, the eighth.
fn power(load: f64) -> f64 {
    let square = load * load;
    let fourth = square * square;
    fourth * fourth
}

fn power_mean(powers: f64) -> f64 {
    powers.max(0.0).sqrt().sqrt().sqrt()
}

fn number(value: usize) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

fn float(value: usize) -> f64 {
    f64::from(number(value))
}

impl Layer {
    pub(crate) fn new(set: usize, ranks: &[Vec<u16>], counts: &[f64], slowdowns: &[f64]) -> Self {
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
            slowdowns: slowdowns.to_vec(),
            powers: vec![0.0; ranks.len()],
            power_sum: 0.0,
            copies: vec![0; ranks.len()],
        };
        layer.recompute();
        layer
    }

    /// Returns the busiest rank's load, if there is any.
    pub(crate) fn skew(&self) -> Option<f64> {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        (most > 0.0).then_some(most)
    }

    pub(crate) fn apply(&mut self, step: &Move) {
        let rank = usize::from(step.rank);
        if let Some(out) = step.out {
            self.ranks[rank].retain(|&expert| expert != out);
            self.holders[usize::from(out)].retain(|&holder| holder != step.rank);
        }
        if let Some(new) = step.new {
            self.ranks[rank].push(new);
            self.ranks[rank].sort_unstable();
            self.holders[usize::from(new)].push(step.rank);
            self.copies[rank] += 1;
        }
        self.recompute();
    }

    /// Returns the part of an expert's work that each of its holders does.
    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.weights[expert] / float(self.holders[expert].len().max(1))
    }

    fn recompute(&mut self) {
        for rank in 0..self.ranks.len() {
            let shares = self.ranks[rank].iter().map(|&expert| self.share(expert));
            self.loads[rank] = self.slowdowns[rank] * shares.sum::<f64>();
        }
        for (powered, &load) in self.powers.iter_mut().zip(&self.loads) {
            *powered = power(load);
        }
        self.power_sum = self.powers.iter().sum();
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.holders[usize::from(expert)].contains(&number(rank))
    }

    /// Returns the change with the greatest gain for each copy, of at least `min_gain`.
    pub(crate) fn best(
        &self,
        copies_left: &[usize],
        shape: &Shape,
        min_gain: f64,
    ) -> Option<Candidate> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|&a, &b| self.loads[b].total_cmp(&self.loads[a]));
        let has_room = |rank: usize| copies_left[rank] > 0 && self.copies[rank] < shape.spare;
        let targets: Vec<_> = order
            .iter()
            .rev()
            .copied()
            .filter(|&rank| has_room(rank))
            .take(TARGETS)
            .collect();
        let mut best: Option<Candidate> = None;
        for &source in order.iter().take(SOURCES) {
            for expert in self.busiest_experts(source) {
                if let Some(candidate) = self.removal(source, expert, min_gain)
                    && best.is_none_or(|best| candidate.gain > best.gain)
                {
                    best = Some(candidate);
                }
                let receivers = targets.iter().copied();
                let receivers = receivers.filter(|&rank| {
                    self.loads[rank] < self.loads[source] && !self.holds(rank, expert)
                });
                for target in receivers {
                    self.transfers(
                        source,
                        target,
                        expert,
                        has_room(source),
                        shape,
                        |candidate| {
                            if candidate.gain >= min_gain
                                && best.is_none_or(|best| candidate.gain > best.gain)
                            {
                                best = Some(candidate);
                            }
                        },
                    );
                }
            }
        }
        best
    }

    /// Returns the change that removes `expert`, which others hold too, from `rank`, if its
    /// gain reaches that required of a copy: the removed copy would have to be made again
    /// if it is needed later.
    fn removal(&self, rank: usize, expert: u16, min_gain: f64) -> Option<Candidate> {
        if self.holders[usize::from(expert)].len() < 2 {
            return None;
        }
        let change = Change::new(self, expert, -1);
        let mut power_sum = self.power_sum;
        for &holder in &self.holders[usize::from(expert)] {
            let holder = usize::from(holder);
            let more = change.delta(true, false, holder == rank);
            power_sum +=
                power(self.loads[holder] + self.slowdowns[holder] * more) - self.powers[holder];
        }
        let gain = power_mean(self.power_sum) - power_mean(power_sum);
        let first = Move {
            set: self.set,
            rank: number(rank),
            out: Some(expert),
            new: None,
        };
        (gain >= min_gain).then_some(Candidate {
            first,
            second: None,
            gain,
        })
    }

    fn busiest_experts(&self, rank: usize) -> Vec<u16> {
        let mut experts = self.ranks[rank].clone();
        experts.sort_by(|&a, &b| self.share(b).total_cmp(&self.share(a)));
        experts.truncate(EXPERTS);
        experts
    }

    /// Passes the changes that bring `expert` from `source` to `target` to `consider`: a
    /// copy in a free place or in that of an expert held elsewhere too, or an exchange.
    fn transfers(
        &self,
        source: usize,
        target: usize,
        expert: u16,
        exchange: bool,
        shape: &Shape,
        mut consider: impl FnMut(Candidate),
    ) {
        let bring = |out| Move {
            set: self.set,
            rank: number(target),
            out,
            new: Some(expert),
        };
        if self.ranks[target].len() < shape.places {
            let first = bring(None);
            consider(Candidate {
                first,
                second: None,
                gain: self.gain(target, None, expert, None),
            });
            return;
        }
        for &out in &self.ranks[target] {
            let first = bring(Some(out));
            if self.holders[usize::from(out)].len() > 1 {
                consider(Candidate {
                    first,
                    second: None,
                    gain: self.gain(target, None, expert, Some(out)),
                });
            }
            if exchange && !self.holds(source, out) {
                let second = Move {
                    set: self.set,
                    rank: number(source),
                    out: Some(expert),
                    new: Some(out),
                };
                let gain = self.gain(target, Some(source), expert, Some(out)) / 2.0;
                consider(Candidate {
                    first,
                    second: Some(second),
                    gain,
                });
            }
        }
    }

    /// Returns the reduction of the peak if `target` adds `expert` and removes `out`, which
    /// `source` adds in exchange if it is given.
    ///
    /// Only the holders of the two experts are evaluated, a few of the ranks: a plan tries
    /// some ten thousand changes on a small part of a core, and the group stays unbalanced
    /// until it is complete.
    fn gain(&self, target: usize, source: Option<usize>, expert: u16, out: Option<u16>) -> f64 {
        let exchange = source.is_some();
        // An exchange keeps the number of holders.
        let expert_change = Change::new(self, expert, i64::from(!exchange));
        let out_change = out.map(|out| (out, Change::new(self, out, -i64::from(!exchange))));
        let mut power_sum = self.power_sum;
        let mut add_rank = |rank: usize| {
            let (gets, gives) = (rank == target, source == Some(rank));
            let mut more = expert_change.delta(self.holds(rank, expert), gets, gives);
            if let Some((out, change)) = &out_change {
                more += change.delta(self.holds(rank, *out), gives, gets);
            }
            let load = self.loads[rank] + self.slowdowns[rank] * more;
            power_sum += power(load) - self.powers[rank];
        };
        let holders = |expert: u16| self.holders[usize::from(expert)].iter().copied();
        holders(expert).map(usize::from).for_each(&mut add_rank);
        match out {
            // The target holds the expert that it removes.
            Some(out) => holders(out)
                .map(usize::from)
                .filter(|&rank| !self.holds(rank, expert))
                .for_each(&mut add_rank),
            None => add_rank(target),
        }
        power_mean(self.power_sum) - power_mean(power_sum)
    }
}

/// The share of an expert for each holder before and after a change.
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

    /// Returns the change of the load of a rank that holds the expert or not, and adds or
    /// removes it.
    fn delta(&self, holds: bool, gets: bool, gives: bool) -> f64 {
        let before = if holds { self.before } else { 0.0 };
        let after = if (holds && !gives) || gets {
            self.after
        } else {
            0.0
        };
        after - before
    }
}
