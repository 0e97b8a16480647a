//! An entry's part of a group's capacity.
//!
//! All entries see the same free slots in reports that are up to a round old. Each may take a
//! part of them, such that the sum over all entries stays below 1.25 times the limit even if
//! a burst reaches all entries at once. A forward pass then still takes no longer than the
//! longest gap that callers accept, since it takes 0.8 of that at the limit.

use std::time::Duration;

use rand::Rng;

use crate::growth::Growth;
use crate::{Ceiling, Class, Occupancy, Reach};

/// The time between two rounds of load reports.
pub const ROUND: Duration = Duration::from_millis(250);
/// An entry's gain as a multiple of its equal share of the free capacity: entries without
/// waiting requests leave about half of the shares unused.
const OVERCOMMIT: f64 = 1.5;
/// The fraction of the ceiling by which the entries' gains in a round may exceed the free
/// capacity together, and which entries below [`SHARE_MIN`] gain together in a round without
/// free capacity.
const EXCESS_MAX: f64 = 0.1;
/// The fraction of its equal share of the ceiling below which an entry gains requests even
/// if the other entries leave no free capacity.
const SHARE_MIN: f64 = 0.5;
/// The largest fraction of the other entries' requests that ends within a round. Slots are
/// held for about 1.5 s, so a sixth is usual; reports of a faster decrease are wrong.
const FALL_MAX: f64 = 0.2;
/// The weight of a round in the moving average of the demand, which covers about 2 s.
const DEMAND_WEIGHT: f64 = 0.125;
/// The fraction of the slots by which reports may fall below the least plausible number of
/// requests. Beyond it, an entry gains no more than it does without free capacity.
const IMPLAUSIBLE_MIN: f64 = 0.1;
/// The lowest demand assumed, in requests per round. A lower value uses more of the limit with
/// hundreds of entries, but lets a burst at all of them exceed it further.
const DEMAND_MIN: f64 = 0.7;
/// The number of standard deviations that are left free beyond the limit, since the rounded gains
/// of all entries may exceed what is free.
const ROUNDING_DEVIATIONS: f64 = 2.0;
/// The number of classes.
const CLASSES: usize = Class::MAX.number() as usize + 1;

/// How many requests an entry may hold at a group, for each class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allowance {
    /// The limits of the entry's own requests, by class.
    limits: [u32; CLASSES],
    /// The same for requests that may fill slots beyond the limit.
    beyond: u32,
    /// The gain of this round before rounding, with slots beyond the limit.
    given: f64,
    /// The own requests at the start of the round.
    held: u32,
    /// The gain of this round before rounding, for the most urgent class.
    gain: f64,
    /// The requests that started in this round.
    started: u32,
    /// Whether a request found no room in this round.
    short: bool,
    /// The moving average of the requests in a round that started or found no room.
    demand: f64,
    /// The other entries' requests per slot, as assumed in this round.
    others: f64,
    growth: Growth,
}

/// What an entry knows of a group at the start of a round.
struct Round {
    own: f64,
    others: f64,
    /// The requests that the other entries have started since their load was reported.
    unseen: f64,
    sharers: f64,
    /// The fraction of a round by which the reports are older than the own requests.
    unreported: f64,
    /// Whether the load reports show a decrease that is too fast to be true.
    is_implausible: bool,
}

impl Allowance {
    /// Starts a round: computes the limits of the own requests from the load reports of the
    /// group, its limit, and the fraction of it that each class leaves to each more urgent
    /// one.
    pub fn renew(
        &mut self,
        occupancy: &Occupancy,
        limit: Ceiling,
        reserve: f64,
        rng: &mut impl Rng,
    ) {
        let slots = f64::from(occupancy.slots);
        let round = self.round(occupancy, slots);
        self.gain = 0.0;
        self.update_demand();
        let chance = rng.random::<f64>();
        let mut limits = self.limits;
        for (number, most) in (0..).zip(&mut limits) {
            let ceiling = Class::numbered(number).ceiling(limit, reserve).per_slot() * slots;
            let gain = round.gain(ceiling);
            self.gain = self.gain.max(gain);
            *most = round_by_chance(round.own + self.offset_unused(gain), chance);
        }
        self.limits = limits;
        let ceiling = Reach::Slots.ceiling(limit, reserve).per_slot() * slots;
        let gain = round.gain_beyond(ceiling, self.given);
        self.given = gain.max(self.offset_unused(self.gain));
        self.beyond = round_by_chance(round.own + gain, chance).max(limits[0]);
        self.held = occupancy.own;
        self.others = round.others / slots.max(1.0);
    }

    /// Starts a round without load reports of the group: the entry gets its equal share.
    pub fn renew_unreported(
        &mut self,
        slots: u32,
        sharers: u32,
        limit: Ceiling,
        reserve: f64,
        rng: &mut impl Rng,
    ) {
        let share = f64::from(slots) / f64::from(sharers.max(1));
        *self = Self::default();
        let chance = rng.random::<f64>();
        for (number, most) in (0..).zip(&mut self.limits) {
            let ceiling = Class::numbered(number).ceiling(limit, reserve);
            *most = round_by_chance(ceiling.per_slot() * share, chance);
        }
        self.beyond = self.limits[0];
    }

    /// Returns how many more requests that may fill this part of the group may start while
    /// the entry holds `own`.
    #[must_use]
    pub fn room(&self, reach: Reach, own: u32) -> u32 {
        let most = match reach {
            Reach::Class(class) => self.limits.get(usize::from(class.number())).copied(),
            Reach::Limit => self.limits.first().copied(),
            Reach::Slots => Some(self.beyond),
        };
        most.map_or(0, |most| most.saturating_sub(own))
    }

    /// Records that a request has started.
    pub const fn record_start(&mut self) {
        self.started += 1;
    }

    /// Records that a request found no room: the entry would have used more than it got, and
    /// so probably would the others.
    pub const fn record_shortage(&mut self) {
        self.short = true;
    }

    /// Adds the past round to the moving average of the demand.
    fn update_demand(&mut self) {
        let demand = f64::from(self.started + u32::from(self.short));
        self.demand += (demand - self.demand) * DEMAND_WEIGHT;
        self.started = 0;
        self.short = false;
    }

    /// Raises a gain below one request if entries have less than one request per round, so
    /// that most of their gains are not used.
    fn offset_unused(&self, gain: f64) -> f64 {
        let raised = gain / self.demand.clamp(DEMAND_MIN, 1.0);
        gain.max(raised.min(1.0))
    }

    /// Returns what is known at the start of a round.
    fn round(&mut self, occupancy: &Occupancy, slots: f64) -> Round {
        let sharers = f64::from(occupancy.sharers.max(1));
        let least = self.others * slots * (1.0 - FALL_MAX);
        let grown = f64::from(occupancy.own.saturating_sub(self.held));
        let used = if self.short {
            self.gain
        } else {
            grown.min(self.gain)
        };
        let others = f64::from(occupancy.others).max(least);
        let assumed = (sharers - 1.0) * used;
        let change = others / slots.max(1.0) - self.others;
        self.growth.record(change, assumed / slots.max(1.0));
        let unreported = occupancy.age.div_duration_f64(ROUND).min(1.0);
        Round {
            own: f64::from(occupancy.own),
            others,
            is_implausible: least - f64::from(occupancy.others) > IMPLAUSIBLE_MIN * slots,
            unseen: self.growth.part() * assumed * unreported,
            sharers,
            unreported,
        }
    }
}

impl Round {
    /// Returns by how much the own requests may grow below a ceiling of all requests, or
    /// must shrink if it is negative.
    fn gain(&self, ceiling: f64) -> f64 {
        let used = self.own + self.others;
        if used > ceiling {
            return (ceiling - used) * self.own / used;
        }
        let free = ceiling - used - self.unseen;
        if free < 0.0 {
            return 0.0;
        }
        let excess = EXCESS_MAX * ceiling;
        let shared = (OVERCOMMIT * free).min(free + excess) / self.sharers;
        let share = ceiling / self.sharers;
        let least = (SHARE_MIN * share - self.own).min(excess / self.sharers);
        if self.is_implausible {
            return least.max(0.0);
        }
        shared.min(free).max(least)
    }

    /// Returns by how much the own requests may grow below a ceiling beyond the limit, which all
    /// entries together must not exceed: each is assumed to have used all that it was `given` in
    /// the round that the reports don't show yet.
    fn gain_beyond(&self, ceiling: f64, given: f64) -> f64 {
        let unseen = (self.sharers - 1.0) * given * self.unreported;
        let free = ceiling - self.own - self.others - unseen;
        // The variance of a gain that is rounded by chance is at most a quarter.
        let variance = free.max(0.0).min((self.sharers - 1.0) / 4.0);
        let certain = free - ROUNDING_DEVIATIONS * variance.sqrt();
        certain.max(0.0) / self.sharers
    }
}

/// Rounds a number up with a probability equal to its fraction, otherwise down; `chance` is
/// drawn from 0 to 1. All classes share one draw: with one for each, a class could get a
/// request that a more urgent one doesn't get.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of requests is not negative and far below 2^32"
)]
fn round_by_chance(requests: f64, chance: f64) -> u32 {
    (requests.max(0.0) + chance) as u32
}
