//! Leads the rounds, in the agent of rank 0.

mod announce;
mod arming;
mod demand;
mod event;
mod former;
mod hold;
mod limit;
mod rows;
mod stage;

use std::time::Duration;

use self::arming::Arming;
use self::demand::Demand;
pub use self::event::Event;
use self::limit::Limit;
use self::stage::Stage;
use crate::Shape;
use crate::codec::Order;
use crate::former::Former;
use crate::map::Map;
use crate::message::{Phase, Progress, Round, Status};
use crate::plan::{self, Plan};
use crate::state::{Maps, Place};
use cactusnotch_base::clock::Instant;

/// The time after which a round is abandoned whose map some ranks cannot load: far above
/// the time to copy what a round moves.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(3);
/// The range of numbers from which the first version of an incarnation is drawn, above all
/// versions that ranks report. The last version of a former incarnation may not have
/// reached all ranks yet and must not be given to another map: two incarnations collide in
/// about one of a billion cases.
const VERSION_SPAN: u64 = 1 << 32;

/// The latest status report of a rank.
#[derive(Debug, Clone)]
struct Row {
    status: Status,
    at: Instant,
}

/// Leads the rounds of a group.
#[derive(Debug)]
pub struct Coordinator {
    place: Place,
    demand: Demand,
    rows: Vec<Option<Row>>,
    map: Option<(u64, Map)>,
    next: Option<Map>,
    round: Round,
    stage: Stage,
    /// The ranks that were asked to hold the group in this round, in order: a single one
    /// unless it took too long.
    holders: Vec<u16>,
    /// Selects the rank that is asked first. It stays the same while that rank answers,
    /// since the rank then has a connection to the own endpoint.
    holder_offset: u16,
    /// When the group was last released because a rank was out of reach.
    released_at: Option<Instant>,
    /// Whether the own endpoint's state has been evaluated under this term.
    started: bool,
    arming: Arming,
    /// The limit of the group's running requests, under overload control.
    limit: Option<Limit>,
    /// What was estimated and measured in the group's former epoch, until requests are
    /// limited.
    former: Option<Former>,
    /// The progress of the round as it was last announced, and when.
    announced: Option<(Progress, Instant)>,
    /// How far the next version is above all versions seen so far.
    version_gap: u64,
}

impl Coordinator {
    /// Creates the coordinator of a group without any reports yet. `term` is a number that
    /// is unique to this incarnation of the process.
    #[must_use]
    pub fn new(place: Place, shape: Shape, options: plan::Options, term: u64) -> Self {
        let round = Round {
            group: place.group.clone(),
            epoch: place.epoch,
            term,
            version: 0,
            base: 0,
            moves: Vec::new(),
            phase: Phase::Rest,
            released: 0,
            asks_held: true,
            limit: None,
        };
        Self {
            rows: vec![None; usize::from(place.size)],
            demand: Demand::new(shape, options),
            place,
            map: None,
            next: None,
            round,
            stage: Stage::Idle,
            holders: Vec::new(),
            holder_offset: 0,
            released_at: None,
            started: false,
            arming: Arming::default(),
            limit: None,
            former: None,
            announced: None,
            version_gap: 1 + term % VERSION_SPAN,
        }
    }

    /// Returns the rank that leads.
    #[must_use]
    pub const fn place(&self) -> &Place {
        &self.place
    }

    /// Returns the round that the ranks should follow.
    #[must_use]
    pub const fn round(&self) -> &Round {
        &self.round
    }

    /// Returns the whole map in force with its version, if it is known.
    #[must_use]
    pub fn map(&self) -> Option<(u64, &Map)> {
        self.map.as_ref().map(|(version, map)| (*version, map))
    }

    /// Records the status of a rank, if the rank sent it under the term of this
    /// coordinator: an older report could hide that the rank has been armed since.
    pub fn record(&mut self, status: Status, now: Instant) {
        let place = &status.place;
        if !self.place.shares_group(place) || status.term != Some(self.round.term) {
            return;
        }
        if let Some(row) = self.rows.get_mut(usize::from(place.rank)) {
            *row = Some(Row { status, at: now });
        }
    }

    /// Adds the expert choices of a rank; returns whether they show a demand shift.
    pub fn add_counts(
        &mut self,
        place: &Place,
        units: &[f32],
        counts: &[u8],
        now: Instant,
    ) -> bool {
        self.place.shares_group(place) && self.demand.add_counts(units, counts, now)
    }

    /// Advances as the status of the ranks allows; returns the order for the own endpoint,
    /// and what happened. `own` is the fresh state of the own endpoint.
    pub fn step(&mut self, own: &Maps, now: Instant) -> (Option<Order>, Option<Event>) {
        self.exclude_former_holds(own);
        let mut event = self.confirm_hold(own, now);
        let pass = self.arming.observe(own.step, now);
        if let (Some(pass), Some((version, map))) = (pass, &self.map)
            && *version == own.current
        {
            let (slowdowns, utilisation) = (self.slowdowns(), self.utilisation());
            self.demand.measure(pass, map, &slowdowns, utilisation);
            self.measure_limit(pass, now);
        }
        if let Some(maps) = self.fresh_maps(now) {
            self.assemble(&maps);
            self.round.asks_held = self.map.is_none();
            event = event.or_else(|| self.advance(&maps, own, now));
        }
        let order = self.order(own, now);
        if let Some(Order::Go { step }) = order {
            self.round.released = self.round.released.max(step);
        }
        (order, event)
    }

    /// Assembles the map in force from the experts that each rank holds.
    fn assemble(&mut self, maps: &[Maps]) {
        let version = maps[0].current;
        if self
            .map
            .as_ref()
            .is_some_and(|(known, _)| *known == version)
        {
            return;
        }
        if maps.iter().any(|maps| maps.current != version) {
            return;
        }
        // Other agents may have completed a round of a former coordinator.
        if self.stage == Stage::Idle {
            self.map = None;
        }
        let held: Option<Vec<_>> = self
            .rows
            .iter()
            .map(|row| row.as_ref()?.status.held.clone())
            .collect();
        let Some(held) = held else {
            return;
        };
        let shape = self.demand.shape();
        let sets = (0..shape.sets)
            .map(|set| {
                held.iter()
                    .map(|rank| rank.get(set).cloned().unwrap_or_default())
                    .collect()
            })
            .collect();
        let map = Map { sets };
        if map.is_complete(shape.experts, shape.places) {
            self.map = Some((version, map));
        }
    }

    fn advance(&mut self, maps: &[Maps], own: &Maps, now: Instant) -> Option<Event> {
        let version = self.round.version;
        // Another rank may have completed the round while this one was unresponsive.
        let done = maps.iter().all(|maps| maps.current == version);
        let open = !matches!(self.stage, Stage::Idle | Stage::Prepare { .. });
        if done && open {
            return Some(self.complete());
        }
        match self.stage {
            Stage::Idle => self.start_or_resolve(maps, own, now),
            Stage::Prepare { since } => {
                if maps.iter().all(|maps| maps.prepared == Some(version)) {
                    if self.hold_step(own, now).is_none() {
                        return self.replace(maps, now);
                    }
                    self.stage = Stage::Hold { requested: None };
                    self.round.phase = Phase::Commit;
                } else if now.saturating_duration_since(since) > PREPARE_TIMEOUT {
                    self.stage = Stage::Idle;
                    self.round.phase = Phase::Rest;
                    // Some rank may have seen a higher version of a former coordinator.
                    self.version_gap = VERSION_SPAN;
                    return Some(Event::Abandoned(version));
                } else {
                    return self.replace(maps, now);
                }
                None
            }
            Stage::Hold { .. } => {
                let step = own.held.filter(|&step| self.is_own_hold(step))?;
                // All ranks have the map; its moves need not be sent again.
                self.round.moves.clear();
                self.arming.begin(now);
                self.stage = Stage::Confirm {
                    step,
                    since: now,
                    announced: None,
                };
                self.round.phase = Phase::Meet { step };
                Some(Event::Held(step))
            }
            Stage::ArmOthers => {
                let follows = |maps: &Maps| maps.armed == Some(version) || maps.current == version;
                if maps.iter().all(follows) {
                    self.arming.end(now);
                    self.stage = Stage::Release { armed: true };
                }
                None
            }
            Stage::Release { armed } => {
                if own.held.is_none() {
                    self.stage = if armed { Stage::Switch } else { Stage::Idle };
                }
                None
            }
            Stage::Confirm { .. }
            | Stage::Revert { .. }
            | Stage::ArmLeader { .. }
            | Stage::Switch => None,
        }
    }

    /// Ends a round after which all ranks use the new map.
    fn complete(&mut self) -> Event {
        let version = self.round.version;
        self.map = self.next.take().map(|map| (version, map));
        self.stage = Stage::Idle;
        self.round.phase = Phase::Rest;
        self.arming.abandon();
        Event::Switched(version)
    }

    /// Resolves a hold that a former coordinator left, or begins a round.
    fn start_or_resolve(&mut self, maps: &[Maps], own: &Maps, now: Instant) -> Option<Event> {
        if let Some(step) = own.held {
            return Some(self.resolve(own, step));
        }
        let settled = maps
            .iter()
            .all(|rank| rank.armed.is_none() && rank.current == maps[0].current);
        if !settled || !self.all_reachable_again() {
            return None;
        }
        let slowdowns = self.slowdowns();
        let (version, map) = self.map.as_ref()?;
        let plan = (*version == maps[0].current)
            .then(|| self.demand.plan(map, &slowdowns, now))
            .flatten()?;
        self.begin(maps, plan, now)
    }

    /// Replaces a round that is still loading if demand has shifted and another map would
    /// be far better. No rank is armed before all have loaded, and a late order to load the
    /// former map is refused because of its version.
    fn replace(&mut self, maps: &[Maps], now: Instant) -> Option<Event> {
        let slowdowns = self.slowdowns();
        let ((_, map), next) = (self.map.as_ref()?, self.next.as_ref()?);
        let plan = self.demand.replacement(map, next, &slowdowns)?;
        self.begin(maps, plan, now)
    }

    /// Begins the round that carries out a plan.
    fn begin(&mut self, maps: &[Maps], plan: Plan, now: Instant) -> Option<Event> {
        let (base, map) = self.map.as_ref()?;
        let base = *base;
        let mut next = map.clone();
        if plan.moves.is_empty() || !plan.moves.iter().all(|step| next.apply(step)) {
            return None;
        }
        let seen = maps
            .iter()
            .map(|rank| rank.current.max(rank.prepared.unwrap_or(0)));
        let seen = seen.fold(self.round.version, u64::max);
        self.round.version = seen + std::mem::replace(&mut self.version_gap, 1);
        self.round.base = base;
        self.round.moves.clone_from(&plan.moves);
        self.round.phase = Phase::Prepare;
        self.next = Some(next);
        self.stage = Stage::Prepare { since: now };
        Some(Event::Began(plan))
    }

    /// Resolves a hold that a former coordinator left. If rank 0 is armed for it, arming is
    /// completed. Otherwise the group is released, after rank 0 has reverted to the map in
    /// force: a former coordinator may have released the hold by an order that is not yet
    /// carried out, so no rank may be armed for it, by a late order either.
    fn resolve(&mut self, own: &Maps, step: u64) -> Event {
        let newer = |version: &u64| *version > own.current;
        if let Some(version) = own.armed {
            self.round.version = version;
            self.round.moves.clear();
            self.round.phase = Phase::Arm { step };
            self.next = None;
            self.stage = Stage::ArmOthers;
        } else if let Some(version) = own.prepared.filter(newer) {
            self.round.version = version;
            self.stage = Stage::Revert { step };
        } else {
            self.stage = Stage::Release { armed: false };
        }
        Event::HoldFound(step)
    }

    /// Returns the order that the own endpoint needs for the hold.
    ///
    /// A hold that appears while ranks load, or before an own hold of the round, or after they
    /// were released, results from an order that was carried out late. Either all ranks are
    /// armed then, or none is and rank 0 has loaded the map of this round, for which no agent
    /// arms it before that pass; so the group may go on.
    fn order(&self, own: &Maps, now: Instant) -> Option<Order> {
        let loaded = |version| own.armed.is_none() && own.prepared.is_none_or(|it| it == version);
        match (self.stage, own.held) {
            // A group of one rank has no other that could hold it.
            (Stage::Hold { .. }, None) if self.place.size == 1 && self.lacks_hold(own) => {
                let step = self.hold_step(own, now)?;
                Some(Order::Hold { step })
            }
            (Stage::Revert { step } | Stage::ArmLeader { step }, Some(held)) if held == step => {
                self.arm_or_revert(own, step)
            }
            (Stage::Prepare { .. }, Some(step)) if loaded(self.round.version) => {
                Some(Order::Go { step })
            }
            (Stage::Hold { .. }, Some(step))
                if !self.is_own_hold(step) && loaded(self.round.version) =>
            {
                Some(Order::Go { step })
            }
            (Stage::Release { .. } | Stage::Switch, Some(step)) => Some(Order::Go { step }),
            _ => None,
        }
    }
}
