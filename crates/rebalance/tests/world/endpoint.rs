//! A simulated endpoint of a rank, which carries out the orders on maps.

use cactusnotch_rebalance::codec::Order;
use cactusnotch_rebalance::state::Maps;
use cactusnotch_rebalance::{Map, Shape};

/// The ticks that loading the experts of a map takes.
const LOAD_TICKS: u64 = 12;

pub struct Endpoint {
    rank: usize,
    spare: usize,
    initial: Map,
    pub maps: Maps,
    /// The whole map in force, as this rank received it.
    pub map: Map,
    /// The experts that this rank holds in the map in force.
    pub held: Vec<Vec<u16>>,
    loading: Option<(u64, u64, Map)>,
    loaded: Option<Map>,
    switch_pass: Option<u64>,
    highest: u64,
}

impl Endpoint {
    pub fn new(rank: usize, shape: &Shape, ranks: usize) -> Self {
        let set = || {
            let of = |rank: usize| {
                let experts = (0..shape.experts).filter(|expert| expert % ranks == rank);
                experts
                    .map(|expert| u16::try_from(expert).expect("a set is small"))
                    .collect()
            };
            (0..ranks).map(of).collect()
        };
        let initial = Map {
            sets: (0..shape.sets).map(|_| set()).collect(),
        };
        let mut endpoint = Self {
            rank,
            spare: shape.spare,
            map: initial.clone(),
            initial,
            maps: Maps::default(),
            held: Vec::new(),
            loading: None,
            loaded: None,
            switch_pass: None,
            highest: 0,
        };
        endpoint.restart();
        endpoint
    }

    pub fn restart(&mut self) {
        self.maps = Maps::default();
        self.map = self.initial.clone();
        self.update_held();
        self.loading = None;
        self.loaded = None;
        self.switch_pass = None;
        self.highest = 0;
    }

    fn update_held(&mut self) {
        self.held = self
            .map
            .sets
            .iter()
            .map(|ranks| ranks[self.rank].clone())
            .collect();
    }

    pub fn report(&self, step: u64) -> Maps {
        Maps { step, ..self.maps }
    }

    /// Completes a copy that is due.
    pub fn load(&mut self, tick: u64) {
        if let Some((_, version, map)) = self.loading.take_if(|(at, ..)| *at <= tick) {
            self.maps.prepared = Some(version);
            self.loaded = Some(map);
        }
    }

    /// Begins a pass; returns whether the map changes with it.
    pub fn begin(&mut self, step: u64) -> bool {
        if self.switch_pass != Some(step) {
            return false;
        }
        self.switch_pass = None;
        self.maps.current = self
            .maps
            .armed
            .take()
            .expect("a pass is noted with its version");
        self.maps.prepared = None;
        self.map = self.loaded.take().expect("only a loaded map is armed");
        self.update_held();
        true
    }

    /// Carries out an order if it fits, as the endpoint's protocol requires.
    pub fn order(&mut self, order: &Order, step: u64, tick: u64) -> bool {
        match order {
            Order::Prepare { version, map } => self.prepare(*version, map, tick),
            Order::Arm {
                version,
                step: pass,
            } => {
                let fits = self.maps.prepared == Some(*version) && *pass > step;
                if fits {
                    self.maps.armed = Some(*version);
                    self.switch_pass = Some(*pass);
                }
                fits
            }
            Order::Hold { step: pass } => {
                let fits = *pass > step && self.maps.held.is_none();
                if fits {
                    self.maps.held = Some(*pass);
                }
                fits
            }
            Order::Go { step: pass } => {
                let fits = self.maps.held == Some(*pass);
                if fits {
                    self.maps.held = None;
                }
                fits
            }
        }
    }

    fn prepare(&mut self, version: u64, map: &Map, tick: u64) -> bool {
        let new = |set: usize| {
            let wanted = &map.sets[set][self.rank];
            wanted
                .iter()
                .filter(|expert| !self.held[set].contains(expert))
                .count()
        };
        let fits = version > self.highest
            && self.maps.armed.is_none()
            && (0..map.sets.len()).all(|set| new(set) <= self.spare);
        if fits {
            self.highest = version;
            self.maps.prepared = None;
            self.loaded = None;
            self.loading = Some((tick + LOAD_TICKS, version, map.clone()));
        }
        fits
    }
}
