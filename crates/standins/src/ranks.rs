//! A group of ranks in lock-step on an expert map, as `docs/ENGINE.md` has it.

mod call;
mod group;
mod loader;
mod rank;
mod reports;
mod steps;
mod traffic;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::{Epoch, Step};
use cactusnotch_placement::{Cell, Map, Rank, Replica, Shape, Share};
use cactusnotch_switch::engine::State;
pub use group::{Entry, Taken};
pub use rank::Command;
pub use reports::Reporting;
pub use traffic::Traffic;

use self::group::Core;
use self::traffic::Hot;
use crate::engine::Fencing;
use crate::sync::lock;
use crate::web::Server;

/// How a group of ranks behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address of each rank; port zero takes a free one.
    pub addresses: Vec<SocketAddr>,
    /// The layers and experts of the model.
    pub shape: Shape,
    /// The map that is in force from step zero, with its weights loaded;
    /// without one each rank is empty and holds step zero.
    pub initial: Option<(Epoch, Map)>,
    /// The time that each step takes on a rank without tokens.
    pub step: Duration,
    /// The time that each token adds to a rank's step.
    pub per_token: Duration,
    /// How popular the experts are.
    pub traffic: Traffic,
    /// How late the counts are told, and how many get lost.
    pub reporting: Reporting,
    /// The largest number of experts on a rank.
    pub capacity: usize,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// The weight store, if there is one.
    pub weights: Option<SocketAddr>,
    /// The time to load an expert without a weight store.
    pub load_time: Duration,
    /// The seed of all that is random.
    pub seed: u64,
}

impl Options {
    /// Returns options for `ranks` ranks that start on [`spread`], with room
    /// for two more experts of each layer than that gives them.
    #[must_use]
    pub fn new(ranks: u16, shape: Shape) -> Self {
        let own = usize::from(shape.experts.div_ceil(ranks.max(1)));
        Self {
            addresses: vec![(Ipv4Addr::LOCALHOST, 0).into(); usize::from(ranks)],
            shape,
            initial: Some((Epoch(1), spread(ranks, shape))),
            step: Duration::from_micros(4500),
            per_token: Duration::from_micros(1),
            traffic: Traffic::default(),
            reporting: Reporting::default(),
            capacity: (own + 2) * usize::from(shape.layers),
            fencing: Fencing::Checked,
            weights: None,
            load_time: Duration::from_millis(5),
            seed: 0,
        }
    }
}

/// Returns the map that gives each expert one replica, in turn over the ranks.
///
/// # Panics
///
/// Never: every expert has one whole replica.
#[must_use]
pub fn spread(ranks: u16, shape: Shape) -> Map {
    let row = |expert: u16| {
        vec![Replica {
            rank: Rank(expert % ranks.max(1)),
            share: Share::WHOLE,
        }]
    };
    let rows = (0..shape.layers).flat_map(|_| (0..shape.experts).map(row));
    Map::new(shape, rows.collect()).expect("one whole replica for each expert")
}

/// A running group of ranks. It stops when it is dropped.
#[derive(Debug)]
pub struct Group {
    core: Arc<Core>,
    servers: Mutex<Vec<Place>>,
    steps: Option<JoinHandle<()>>,
}

/// A rank's address, and its server while the rank lives.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    server: Option<Server>,
}

impl Group {
    /// Starts a group, which takes steps from then on.
    ///
    /// # Errors
    ///
    /// The error of binding an address.
    pub fn start(options: &Options) -> io::Result<Self> {
        let core = Arc::new(Core::new(options));
        let mut places = Vec::with_capacity(options.addresses.len());
        for (rank, address) in options.addresses.iter().enumerate() {
            let server = serve(&core, rank, *address)?;
            places.push(Place {
                address: server.address(),
                server: Some(server),
            });
        }
        for rank in 0..places.len() {
            let core = Arc::clone(&core);
            thread::spawn(move || loader::run(&core, rank));
        }
        let stepped = Arc::clone(&core);
        let steps = thread::spawn(move || steps::run(&stepped));
        Ok(Self {
            core,
            servers: Mutex::new(places),
            steps: Some(steps),
        })
    }

    /// Returns the address of each rank.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let places = lock(&self.servers);
        places.iter().map(|place| place.address).collect()
    }

    /// Ends a rank's process: its memory is lost, its connections break off,
    /// and the group takes no more steps.
    pub fn kill(&self, rank: Rank) {
        lock(&self.core.state).members[rank.index()].fate.alive = false;
        self.core.changed.notify_all();
        let server = lock(&self.servers)[rank.index()].server.take();
        drop(server);
    }

    /// Puts an empty process in the place of a killed rank, at `address` or
    /// at the former one. It holds the step that the group waits for.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn replace(&self, rank: Rank, address: Option<SocketAddr>) -> io::Result<SocketAddr> {
        self.kill(rank);
        let place = &mut lock(&self.servers)[rank.index()];
        let server = serve(&self.core, rank.index(), address.unwrap_or(place.address))?;
        place.address = server.address();
        place.server = Some(server);
        let address = place.address;
        let state = &mut lock(&self.core.state);
        let next = state.step;
        state.members[rank.index()].replace(&self.core.options, next);
        self.core.changed.notify_all();
        Ok(address)
    }

    /// Stops a rank's work for `time`; it still answers orders.
    pub fn stall(&self, rank: Rank, time: Duration) {
        let until = clock::now() + time;
        lock(&self.core.state).members[rank.index()].fate.stalled = Some(until);
        self.core.changed.notify_all();
    }

    /// Stretches a rank's part of each step by `factor`.
    pub fn slow(&self, rank: Rank, factor: f64) {
        lock(&self.core.state).members[rank.index()].fate.slowness = factor;
    }

    /// Multiplies the popularity of an expert by `factor`, beside what earlier
    /// calls have done.
    pub fn heat(&self, cell: Cell, factor: f64) {
        lock(&self.core.state).hot.push(Hot { cell, factor });
    }

    /// Returns the step that the group takes or waits for.
    #[must_use]
    pub fn step(&self) -> Step {
        lock(&self.core.state).step
    }

    /// Waits until the group has finished `step`, at most for `time`, and
    /// tells whether it has.
    #[must_use]
    pub fn wait_for(&self, step: Step, time: Duration) -> bool {
        let until = clock::now() + time;
        let mut state = lock(&self.core.state);
        while state.step <= step && clock::now() < until {
            state = steps::wait(&self.core, state, Some(until));
        }
        state.step > step
    }

    /// Returns the state of a rank, as a read of it tells.
    #[must_use]
    pub fn state(&self, rank: Rank) -> State {
        let state = lock(&self.core.state);
        state.members[rank.index()].memory.state.clone()
    }

    /// Returns the steps that a rank has started, oldest first, over all its
    /// lives.
    #[must_use]
    pub fn log(&self, rank: Rank) -> Vec<Entry> {
        let state = lock(&self.core.state);
        state.members[rank.index()].log.iter().copied().collect()
    }

    /// Returns the steps that the group has finished, oldest first.
    #[must_use]
    pub fn taken(&self) -> Vec<Taken> {
        lock(&self.core.state).taken.iter().cloned().collect()
    }

    /// Returns the steps in which not all ranks used the same map.
    #[must_use]
    pub fn mixed(&self) -> Vec<Step> {
        lock(&self.core.state).mixed.clone()
    }
}

fn serve(core: &Arc<Core>, rank: usize, address: SocketAddr) -> io::Result<Server> {
    let core = Arc::clone(core);
    Server::start(address, move |request| {
        call::answer(Arc::clone(&core), rank, request)
    })
}

impl Drop for Group {
    fn drop(&mut self) {
        lock(&self.core.state).stopped = true;
        self.core.changed.notify_all();
        if let Some(steps) = self.steps.take() {
            drop(steps.join());
        }
    }
}
