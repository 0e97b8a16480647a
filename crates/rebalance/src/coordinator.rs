//! How the agent of rank 0 leads a round.

use std::time::{Duration, Instant};

use crate::Shape;
use crate::cadence::Cadence;
use crate::codec::Order;
use crate::estimate::Estimate;
use crate::map::Map;
use crate::message::{Phase, Round, Standing};
use crate::plan::{self, Plan};
use crate::state::{Maps, Place};

/// How long a rank's word counts. Ranks repeat it several times a second.
const STANDING_TIME: Duration = Duration::from_millis(1_500);
/// After this time ranks that can't load a map are given another one: far
/// above the time to copy what a round moves.
const PREPARE_TIME: Duration = Duration::from_secs(3);
/// How many passes ahead the group is held while it isn't known how long they
/// take: enough for the order to arrive before the pass begins.
const PASSES_AHEAD: u64 = 2;
/// The most passes ahead. Further ahead a round takes longer, and demand turns.
const PASSES_AHEAD_MAX: u64 = 8;
/// The time from a look at the own endpoint until a hold that follows from it
/// is known to be in force: two calls on the same host.
const HOLD_TIME: Duration = Duration::from_millis(10);
/// How long arming takes until it was measured.
const ARMING: Duration = Duration::from_millis(60);
/// What is kept of the longest time that arming took, from round to round.
const ARMING_KEPT: f64 = 0.85;
/// The span of numbers that a life's versions begin in, above all versions
/// that ranks show. A former life's last version may still be on its way to
/// some ranks and must not be given to another map: two lives meet in about
/// one of a billion cases.
const VERSION_SPAN: u64 = 1 << 32;
/// The choices that must be known before a first plan; below it the counts
/// are noise.
const CHOICES_MIN: f64 = 2_000.0;
/// What a round has to take off the skew, as a part of it. While a round is
/// under way no other can begin, so that a small one keeps the group uneven for
/// its 0.3 to 0.5 s if demand turns then.
const ROUND_GAIN: f64 = 0.025;
/// A round that still loads is replaced if the map of a new plan would have a
/// skew that is lower by this part: loading takes 0.1 to 0.2 s, and all of it
/// is lost.
const REPLACE_GAIN: f64 = 0.15;
/// How long a plan that was not worth a round is not made again, unless demand
/// turns. A plan costs the leader some milliseconds of a small part of a core.
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// What a coordinator knows of one rank.
#[derive(Debug, Clone)]
struct Row {
    standing: Standing,
    at: Instant,
}

/// How far the coordinator's round is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// None is under way.
    Rest,
    /// The ranks load the map of this version.
    Prepare { since: Instant },
    /// The group is to be held; all ranks have loaded the map.
    Hold,
    /// The group is held, and the ranks get armed.
    Arm,
    /// The group is to be let go; either all ranks are armed, or none is.
    Go { armed: bool },
    /// The group goes on; the ranks switch as the pass begins.
    Switch,
}

/// What the coordinator has to say after a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A round has begun.
    Began(Plan),
    /// The group is held and ranks may be armed.
    Held(u64),
    /// All ranks use the new map.
    Switched(u64),
    /// A round was given up before any rank was armed.
    GivenUp(u64),
    /// A hold of a former coordinator was found, and is being resolved.
    Found(u64),
}

/// The part of rank 0's agent that leads rounds.
#[derive(Debug)]
pub struct Coordinator {
    place: Place,
    shape: Shape,
    options: plan::Options,
    rows: Vec<Option<Row>>,
    estimate: Estimate,
    map: Option<(u64, Map)>,
    next: Option<Map>,
    round: Round,
    stage: Stage,
    /// The last pass that the group was let go into. A late order to let it
    /// go must never meet another hold of the same pass.
    let_go: Option<u64>,
    /// When the group was held, while ranks get armed.
    held_at: Option<Instant>,
    /// The longest time that arming took lately.
    arming: Duration,
    /// How long passes take, and when the present one began.
    cadence: Cadence,
    /// How far the next version is above all that were seen.
    gap: u64,
    /// Whether demand has turned since the last plan.
    turned: bool,
    /// When a plan was last made that was not worth a round.
    planned: Option<Instant>,
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
            estimate: Estimate::new(shape.sets, shape.experts),
            place,
            shape,
            options,
            map: None,
            next: None,
            round,
            stage: Stage::Rest,
            let_go: None,
            held_at: None,
            arming: ARMING,
            cadence: Cadence::default(),
            gap: 1 + term % VERSION_SPAN,
            turned: false,
            planned: None,
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

    /// Tells whether a rank has to be told the round again, since its word
    /// shows that it hasn't followed.
    #[must_use]
    pub fn lacks(&self, standing: &Standing) -> bool {
        let version = self.round.version;
        let maps = &standing.maps;
        match self.round.phase {
            Phase::Rest | Phase::Commit => false,
            Phase::Prepare => maps.current < version && maps.prepared != Some(version),
            Phase::Arm { .. } => maps.current < version && maps.armed.is_none(),
        }
    }

    /// Takes a rank's word, if it was given after this life began: an older
    /// one could hide that the rank has been armed since.
    pub fn hear(&mut self, standing: Standing, now: Instant) {
        let place = &standing.place;
        let other_group = place.group != self.place.group || place.epoch != self.place.epoch;
        if other_group || standing.term != Some(self.round.term) {
            return;
        }
        if let Some(row) = self.rows.get_mut(usize::from(place.rank)) {
            *row = Some(Row { standing, at: now });
        }
    }

    /// Adds what a rank's requests chose; returns whether demand has turned.
    pub fn count(&mut self, place: &Place, units: &[f32], counts: &[u8], now: Instant) -> bool {
        let own = place.group == self.place.group && place.epoch == self.place.epoch;
        let turned = own && self.estimate.add(units, counts, now);
        self.turned |= turned;
        turned
    }

    /// Goes on as far as the ranks' words allow; returns the order for the
    /// own endpoint, and what happened. `own` is the fresh state of the own
    /// endpoint.
    pub fn step(&mut self, own: &Maps, now: Instant) -> (Option<Order>, Option<Event>) {
        let mut event = None;
        self.cadence.look(own.step, now);
        if let Some(maps) = self.words(now) {
            self.assemble(&maps);
            self.round.asks_held = self.map.is_none();
            event = self.advance(&maps, own, now);
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
        let held: Option<Vec<_>> = self
            .rows
            .iter()
            .map(|row| row.as_ref()?.standing.held.clone())
            .collect();
        let Some(held) = held else {
            return;
        };
        let sets = (0..self.shape.sets)
            .map(|set| {
                held.iter()
                    .map(|rank| rank.get(set).cloned().unwrap_or_default())
                    .collect()
            })
            .collect();
        let map = Map { sets };
        if map.is_complete(self.shape.experts, self.shape.places) {
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
                    self.stage = Stage::Hold;
                    self.round.phase = Phase::Commit;
                } else if now.saturating_duration_since(since) > PREPARE_TIME {
                    self.stage = Stage::Rest;
                    self.round.phase = Phase::Rest;
                    // Some rank may have had a higher version of a former life.
                    self.gap = VERSION_SPAN;
                    return Some(Event::GivenUp(version));
                } else if std::mem::take(&mut self.turned) {
                    return self.replace(maps, now);
                }
                None
            }
            Stage::Hold => {
                let step = own.held?;
                // All ranks have the map; its moves need not travel again.
                self.round.moves.clear();
                self.held_at = Some(now);
                self.stage = Stage::Arm;
                self.round.phase = Phase::Arm { step };
                Some(Event::Held(step))
            }
            Stage::Arm => {
                if maps.iter().all(|maps| maps.armed == Some(version)) {
                    let took = self
                        .held_at
                        .take()
                        .map(|at| now.saturating_duration_since(at));
                    let kept = self.arming.mul_f64(ARMING_KEPT);
                    self.arming = took.unwrap_or_default().max(kept);
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
            Stage::Switch => None,
        }
    }

    /// Ends a round after which all ranks use the new map.
    fn end(&mut self) -> Event {
        let version = self.round.version;
        self.map = self.next.take().map(|map| (version, map));
        self.stage = Stage::Rest;
        self.round.phase = Phase::Rest;
        self.held_at = None;
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
        let lately = |at| now.saturating_duration_since(at) < PLAN_EVERY;
        if !settled || (!self.turned && self.planned.is_some_and(lately)) {
            return None;
        }
        let plan = self.plan(maps)?;
        self.turned = false;
        if plan.gain() < ROUND_GAIN {
            self.planned = Some(now);
            return None;
        }
        self.begin(maps, plan, now)
    }

    /// Plans from the map in force, if that and what is popular are known.
    fn plan(&self, maps: &[Maps]) -> Option<Plan> {
        let (version, map) = self.map.as_ref()?;
        let known = *version == maps[0].current && self.estimate.heard() >= CHOICES_MIN;
        known.then(|| plan::plan(map, &self.estimate, &self.shape, &self.options))
    }

    /// Replaces a round that still loads if demand has turned so that another
    /// map would be far better. No rank is armed before all have loaded, and an
    /// order to load the former map that comes late is refused for its version.
    fn replace(&mut self, maps: &[Maps], now: Instant) -> Option<Event> {
        let next = plan::skew_of(self.next.as_ref()?, &self.estimate);
        let plan = self.plan(maps)?;
        let better = f64::from(plan.after) <= f64::from(next) * (1.0 - REPLACE_GAIN);
        better.then(|| self.begin(maps, plan, now)).flatten()
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
                self.round.phase = Phase::Arm { step };
                self.next = None;
                self.stage = Stage::Arm;
            }
            _ => self.stage = Stage::Go { armed: false },
        }
        Event::Found(step)
    }

    /// Returns how many passes ahead the group is held: as few as let all ranks
    /// be armed before the pass is due, so that the group doesn't stand still. A
    /// pause of 0.1 s makes most running streams late.
    fn passes_ahead(&self, now: Instant) -> u64 {
        let passes = self.cadence.passes_within(self.arming + HOLD_TIME, now);
        passes.map_or(PASSES_AHEAD, |passes| (passes + 1).min(PASSES_AHEAD_MAX))
    }

    /// Returns the order that the own endpoint needs for the hold.
    ///
    /// A hold that shows up while ranks load, or after they were let go, is
    /// one that was carried out late. No rank is armed then or all are, so
    /// that the group may go on.
    fn order(&self, own: &Maps, now: Instant) -> Option<Order> {
        match (self.stage, own.held) {
            // Once this rank is armed another has completed the round.
            (Stage::Hold, None) if own.armed.is_none() && own.current < self.round.version => {
                let after = self.let_go.map_or(0, |step| step + 1);
                Some(Order::Hold {
                    step: (own.step + self.passes_ahead(now)).max(after),
                })
            }
            (Stage::Go { .. } | Stage::Prepare { .. } | Stage::Switch, Some(step)) => {
                Some(Order::Go { step })
            }
            _ => None,
        }
    }
}
