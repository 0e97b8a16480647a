//! How the agent of rank 0 leads a round.

mod arming;
mod demand;
mod event;
mod hold;
mod stage;
mod telling;

use std::time::Duration;

use self::arming::Arming;
use self::demand::Demand;
pub use self::event::Event;
use self::stage::Stage;
use crate::codec::Order;
use crate::map::Map;
use crate::message::{Heard, Phase, Round, Standing};
use crate::plan::{self, Plan};
use crate::state::{Maps, Place};
use crate::{Shape, Slowdown};
use cactusnotch_base::clock::Instant;

/// How long a rank's word counts. Ranks repeat it several times a second.
const STANDING_TIME: Duration = Duration::from_millis(1_500);
/// After this time ranks that can't load a map are given another one: far
/// above the time to copy what a round moves.
const PREPARE_TIME: Duration = Duration::from_secs(3);
/// The span of numbers that a life's versions begin in, above all versions
/// that ranks show. A former life's last version may still be on its way to
/// some ranks and must not be given to another map: two lives meet in about
/// one of a billion cases.
const VERSION_SPAN: u64 = 1 << 32;
/// What a coordinator knows of one rank.
#[derive(Debug, Clone)]
struct Row {
    standing: Standing,
    at: Instant,
}

/// The part of rank 0's agent that leads rounds.
#[derive(Debug)]
pub struct Coordinator {
    place: Place,
    demand: Demand,
    rows: Vec<Option<Row>>,
    map: Option<(u64, Map)>,
    next: Option<Map>,
    round: Round,
    stage: Stage,
    /// The ranks that were asked to hold the group in this round, in order: one, unless it
    /// took too long.
    holders: Vec<u16>,
    /// Counts up to the rank that is asked first: the same one as long as it answers, since
    /// it has a connection to the own endpoint then.
    holder: u16,
    /// When the group was last let go since a rank was out of reach.
    let_go_at: Option<Instant>,
    /// The last pass that the group was let go into. A late order to let it
    /// go must never meet another hold of the same pass.
    let_go: Option<u64>,
    arming: Arming,
    /// The round as ranks were told it last, and when.
    told: Option<(Heard, Instant)>,
    /// How far the next version is above all that were seen.
    gap: u64,
}

impl Coordinator {
    /// Creates the coordinator of a group of which nothing is known yet.
    /// `term` is a number that no other life of this process has.
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
            asks_held: true,
        };
        Self {
            rows: vec![None; usize::from(place.size)],
            demand: Demand::new(shape, options),
            place,
            map: None,
            next: None,
            round,
            stage: Stage::Rest,
            holders: Vec::new(),
            holder: 0,
            let_go_at: None,
            let_go: None,
            arming: Arming::default(),
            told: None,
            gap: 1 + term % VERSION_SPAN,
        }
    }

    /// Returns the rank that it leads from.
    #[must_use]
    pub const fn place(&self) -> &Place {
        &self.place
    }

    /// Returns the round as the ranks should know it.
    #[must_use]
    pub const fn round(&self) -> &Round {
        &self.round
    }

    /// Returns the whole map in force with its version, if it is known.
    #[must_use]
    pub fn map(&self) -> Option<(u64, &Map)> {
        self.map.as_ref().map(|(version, map)| (*version, map))
    }

    /// Takes a rank's word, if it was given after this life began: an older
    /// one could hide that the rank has been armed since.
    pub fn hear(&mut self, standing: Standing, now: Instant) {
        let place = &standing.place;
        if !self.place.is_beside(place) || standing.term != Some(self.round.term) {
            return;
        }
        if let Some(row) = self.rows.get_mut(usize::from(place.rank)) {
            *row = Some(Row { standing, at: now });
        }
    }

    /// Adds what a rank's requests chose; returns whether demand has turned.
    pub fn count(&mut self, place: &Place, units: &[f32], counts: &[u8], now: Instant) -> bool {
        self.place.is_beside(place) && self.demand.count(units, counts, now)
    }

    /// Goes on as far as the ranks' words allow; returns the order for the
    /// own endpoint, and what happened. `own` is the fresh state of the own
    /// endpoint.
    pub fn step(&mut self, own: &Maps, now: Instant) -> (Option<Order>, Option<Event>) {
        let mut event = self.meet(own, now);
        let pass = self.arming.look(own.step, now);
        if let (Some(pass), Some((version, map))) = (pass, &self.map)
            && *version == own.current
        {
            self.demand.measure(pass, map, &self.paces(), self.fill());
        }
        if let Some(maps) = self.words(now) {
            self.assemble(&maps);
            self.round.asks_held = self.map.is_none();
            event = event.or_else(|| self.advance(&maps, own, now));
        }
        let order = self.order(own, now);
        if let Some(Order::Go { step }) = order {
            self.let_go = self.let_go.max(Some(step));
        }
        (order, event)
    }

    /// Returns all ranks' maps if all have been heard lately.
    fn words(&self, now: Instant) -> Option<Vec<Maps>> {
        let fresh = |row: &Row| now.saturating_duration_since(row.at) < STANDING_TIME;
        let word = |row: &Option<Row>| {
            row.as_ref()
                .filter(|row| fresh(row))
                .map(|row| row.standing.maps)
        };
        self.rows.iter().map(word).collect()
    }

    /// Returns the pace of the slowest rank.
    #[must_use]
    pub fn slowest(&self) -> Slowdown {
        let paces = self.rows.iter().flatten().map(|row| row.standing.pace);
        paces.max().unwrap_or_default()
    }

    /// Returns how many times longer than usual each rank takes.
    fn paces(&self) -> Vec<f64> {
        let pace = |row: &Option<Row>| row.as_ref().map_or(1.0, |row| row.standing.pace.factor());
        self.rows.iter().map(pace).collect()
    }

    /// Returns how many requests run or wait for each slot of the group.
    fn fill(&self) -> f64 {
        let fills = || self.rows.iter().flatten().map(|row| row.standing.fill);
        let count = u32::try_from(fills().count()).unwrap_or(u32::MAX).max(1);
        fills().map(f64::from).sum::<f64>() / (100.0 * f64::from(count))
    }

    /// Puts the map in force together from what each rank holds.
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
        // Others may have completed a round of a former life.
        if self.stage == Stage::Rest {
            self.map = None;
        }
        let held: Option<Vec<_>> = self
            .rows
            .iter()
            .map(|row| row.as_ref()?.standing.held.clone())
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
        // Another rank may have completed the round while this one was silent.
        let done = maps.iter().all(|maps| maps.current == version);
        let open = !matches!(self.stage, Stage::Rest | Stage::Prepare { .. });
        if done && open {
            return Some(self.end());
        }
        match self.stage {
            Stage::Rest => self.rest(maps, own, now),
            Stage::Prepare { since } => {
                if maps.iter().all(|maps| maps.prepared == Some(version)) {
                    self.stage = Stage::Hold { asked: None };
                    self.round.phase = Phase::Commit;
                } else if now.saturating_duration_since(since) > PREPARE_TIME {
                    self.stage = Stage::Rest;
                    self.round.phase = Phase::Rest;
                    // Some rank may have had a higher version of a former life.
                    self.gap = VERSION_SPAN;
                    return Some(Event::GivenUp(version));
                } else {
                    return self.replace(maps, now);
                }
                None
            }
            Stage::Hold { .. } => {
                let step = own.held?;
                // All ranks have the map; its moves need not travel again.
                self.round.moves.clear();
                self.arming.begin(now);
                self.stage = Stage::Meet {
                    step,
                    since: now,
                    told: None,
                };
                self.round.phase = Phase::Meet { step };
                Some(Event::Held(step))
            }
            Stage::Arm => {
                if maps.iter().all(|maps| maps.armed == Some(version)) {
                    self.arming.end(now);
                    self.stage = Stage::Go { armed: true };
                }
                None
            }
            Stage::Go { armed } => {
                if own.held.is_none() {
                    self.stage = if armed { Stage::Switch } else { Stage::Rest };
                }
                None
            }
            Stage::Meet { .. } | Stage::Undo | Stage::Lead | Stage::Switch => None,
        }
    }

    /// Ends a round after which all ranks use the new map.
    fn end(&mut self) -> Event {
        let version = self.round.version;
        self.map = self.next.take().map(|map| (version, map));
        self.stage = Stage::Rest;
        self.round.phase = Phase::Rest;
        self.arming.give_up();
        Event::Switched(version)
    }

    /// Resolves what a former coordinator left, or begins a round.
    fn rest(&mut self, maps: &[Maps], own: &Maps, now: Instant) -> Option<Event> {
        if let Some(step) = own.held {
            return Some(self.resolve(maps, step));
        }
        let settled = maps
            .iter()
            .all(|rank| rank.armed.is_none() && rank.current == maps[0].current);
        if !settled || !self.all_back() {
            return None;
        }
        let paces = self.paces();
        let (version, map) = self.map.as_ref()?;
        let plan = (*version == maps[0].current)
            .then(|| self.demand.plan(map, &paces, now))
            .flatten()?;
        self.begin(maps, plan, now)
    }

    /// Replaces a round that still loads if demand has turned so that another
    /// map would be far better. No rank is armed before all have loaded, and an
    /// order to load the former map that comes late is refused for its version.
    fn replace(&mut self, maps: &[Maps], now: Instant) -> Option<Event> {
        let paces = self.paces();
        let ((_, map), next) = (self.map.as_ref()?, self.next.as_ref()?);
        let plan = self.demand.replacement(map, next, &paces)?;
        self.begin(maps, plan, now)
    }

    /// Begins the round that carries a plan out.
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
        self.round.version = seen + std::mem::replace(&mut self.gap, 1);
        self.round.base = base;
        self.round.moves.clone_from(&plan.moves);
        self.round.phase = Phase::Prepare;
        self.next = Some(next);
        self.stage = Stage::Prepare { since: now };
        Some(Event::Began(plan))
    }

    /// Ends a round that a former coordinator left held. Ranks are armed only
    /// after all have loaded the same map; if all have, arming is completed,
    /// and otherwise none is armed and the group is let go.
    fn resolve(&mut self, maps: &[Maps], step: u64) -> Event {
        let loaded = |rank: &Maps| {
            rank.armed
                .or(rank.prepared)
                .filter(|&version| version > rank.current)
        };
        let version = maps.first().and_then(loaded);
        let same = version.is_some() && maps.iter().all(|rank| loaded(rank) == version);
        match version {
            Some(version) if same => {
                self.round.version = version;
                self.round.moves.clear();
                self.round.phase = Phase::Meet { step };
                self.next = None;
                self.stage = Stage::Lead;
            }
            _ => self.stage = Stage::Go { armed: false },
        }
        Event::Found(step)
    }

    /// Returns the order that the own endpoint needs for the hold.
    ///
    /// A hold that shows up while ranks load, or after they were let go, is
    /// one that was carried out late. No rank is armed then or all are, so
    /// that the group may go on.
    fn order(&self, own: &Maps, now: Instant) -> Option<Order> {
        match (self.stage, own.held) {
            // Nobody else could.
            (Stage::Hold { .. }, None) if self.place.size == 1 && self.lacks_hold(own) => {
                Some(Order::Hold {
                    step: self.hold_at(own, now),
                })
            }
            (Stage::Undo | Stage::Lead, Some(step)) => self.settle(own, step),
            (Stage::Go { .. } | Stage::Prepare { .. } | Stage::Switch, Some(step)) => {
                Some(Order::Go { step })
            }
            _ => None,
        }
    }
}
