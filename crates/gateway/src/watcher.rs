//! Follows the store's objects of one kind.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_position::Position;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::endpoint::Endpoint;
use crate::knowledge::SharedState;
use crate::listing;
use crate::store::{Change, Codec, Error, Item, Kind, Store, WatchAnswer};

/// The longest wait of one watch. A store that turns a host away may leave a
/// watch hanging and the connection sound; calls that don't wait show that, so
/// that this may be long: each watch is a call that is paid for.
const WATCH_MAX: Duration = Duration::from_secs(20);
/// How long after its start an entry doesn't watch: until then it doesn't know
/// the others, and all that start together would.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// How often an entry that is told by others looks whether it is to watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(600);
/// How often an entry that is told of evacuations by others looks whether they still confirm
/// them.
const CONFIRM_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The wait of a watch that is only to prove what is known.
pub(crate) const NO_WAIT: Duration = Duration::from_millis(1);
/// The least time between two watches of a kind. A watch returns with the
/// first change, and when many endpoints come at once each would be a call of
/// its own; within this time they come together. It is far below the time
/// within which a change has to be in force.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// The time over which entries that hear of a newer configuration fetch it. One with 1,400
/// routes has some 0.4 MB (worked out), which an entry's link of 40 Mbit/s carries in a tenth
/// of a second; it has to be in force within two seconds.
const FETCH_SPREAD: Duration = Duration::from_millis(400);
/// The time over which entries list endpoints anew once the store came back from an older
/// copy. With the time to notice it they are known within the three seconds that an entry has
/// to know which have left, and 380 entries with a thousand endpoints stay within the calls
/// that the store takes.
const RELIST_SPREAD: Duration = Duration::from_secs(1);

/// Follows the objects of `kind` for as long as the process lives.
pub(crate) async fn run<C: Codec>(shared: Rc<SharedState>, socket: Rc<UdpSocket>, kind: Kind) {
    let mut watching = shared.store::<C>();
    let mut follower = Follower::<C>::new(&shared, &socket, kind);
    loop {
        let step = if follower.listed {
            follower.follow(&mut watching).await
        } else {
            follower.list().await
        };
        match step {
            Ok(()) => {}
            Err(Error::HistoryGone) => {
                tracing::info!(%kind, "changes are gone from the store, listing anew");
                shared.note_store_answer(kind, clock::now());
                follower.listed = false;
            }
            Err(error) => shared.note_store_failure(kind, &error, clock::now()),
        }
    }
}

/// Follows the objects of one kind: by a watch, if it is this entry that does so
/// for its data centre, and else by what others tell.
struct Follower<'a, C> {
    shared: &'a SharedState,
    socket: &'a UdpSocket,
    kind: Kind,
    /// For calls that don't wait, while a watch may be waiting.
    store: Store<C>,
    /// Whether the changes since what is known are to be had.
    listed: bool,
    started: Instant,
}

impl<'a, C: Codec> Follower<'a, C> {
    fn new(shared: &'a SharedState, socket: &'a UdpSocket, kind: Kind) -> Self {
        Self {
            shared,
            socket,
            kind,
            store: shared.store(),
            listed: false,
            started: clock::now(),
        }
    }

    /// Goes on from what is known, by one answer of the store or some time.
    async fn follow(&mut self, watching: &mut Store<C>) -> Result<(), Error> {
        if self.kind != Kind::Configuration && self.is_outdated() {
            self.wait_for_relist_slot().await;
            self.listed = false;
            return Ok(());
        }
        if self.shared.link.borrow().is_lost() {
            self.shared.wait_for_store_slot().await;
            return self.catch_up().await.map(drop);
        }
        let has_discovered = self.started.elapsed() >= DISCOVERY_TIME;
        if has_discovered && self.watches() {
            self.watch(watching).await
        } else {
            self.follow_peers().await
        }
    }

    /// Tells whether this entry watches for others.
    fn watches(&self) -> bool {
        match self.kind {
            Kind::Evacuations => self.shared.watches_evacuations(clock::now()),
            _ => self.shared.watches(clock::now()),
        }
    }

    /// Tells whether what is known was read in an era of the store that has ended, or may
    /// have been.
    fn is_outdated(&self) -> bool {
        let eras = &self.shared.eras;
        self.known().era() != eras.current() || eras.is_in_doubt()
    }

    /// Waits until it is this entry's turn to list what others list too: those that watch for
    /// others go first.
    async fn wait_for_relist_slot(&self) {
        if self.shared.watches(clock::now()) {
            return;
        }
        let jitter: f64 = self.shared.rng.borrow_mut().random();
        tokio::time::sleep(RELIST_SPREAD.mul_f64(jitter)).await;
    }

    async fn list(&mut self) -> Result<(), Error> {
        self.shared.wait_for_store_slot().await;
        let asked = clock::now();
        let listing = self.store.list(self.kind, false).await?;
        let now = clock::now();
        self.shared.note_store_answer(self.kind, now);
        let position = listing.position;
        if position < self.known() {
            // Others have told more meanwhile.
            return Ok(());
        }
        self.shared
            .replace(self.kind, listing.changes, position, now);
        self.record_position(position, asked);
        self.listed = true;
        Ok(())
    }

    /// Returns the position up to which the objects are known.
    fn known(&self) -> Position {
        match self.kind {
            Kind::Endpoints => self.shared.lag.progress().known(),
            Kind::Configuration | Kind::Entries => self.shared.position.get(),
            Kind::Evacuations => self.shared.evacuations.borrow().position(),
        }
    }

    /// Notes that the objects are known up to `position`, by an answer to what
    /// was asked at `asked`.
    fn record_position(&self, position: Position, asked: Instant) {
        match self.kind {
            Kind::Endpoints => self.shared.lag.advance(position),
            Kind::Configuration => self.shared.confirm_configuration(position, asked),
            Kind::Entries => {}
            Kind::Evacuations => {
                let mut evacuations = self.shared.evacuations.borrow_mut();
                evacuations.confirm(position, asked);
            }
        }
    }

    /// Tells whether others have told all that is in an answer for the changes
    /// after `from` up to `to`, and maybe more, which it would take back.
    fn is_superseded(&self, from: Position, to: Position) -> bool {
        match self.kind {
            Kind::Endpoints => {
                let progress = self.shared.lag.progress();
                progress.known() != to && !progress.continues(from, to)
            }
            Kind::Evacuations => to < self.known(),
            Kind::Configuration | Kind::Entries => false,
        }
    }

    /// Waits for one answer of a watch.
    async fn watch(&mut self, watching: &mut Store<C>) -> Result<(), Error> {
        if self.is_outdated() {
            self.listed = false;
            return Ok(());
        }
        let (from, asked) = (self.known(), clock::now());
        let waiting = watching.watch(self.kind, from, WATCH_MAX);
        tokio::pin!(waiting);
        loop {
            tokio::select! {
                answer = &mut waiting => {
                    if self.apply(from, answer?, asked) {
                        tokio::time::sleep(WATCH_INTERVAL_MIN.saturating_sub(asked.elapsed())).await;
                    }
                    return Ok(());
                }
                () = self.shared.eras.changed() => return Ok(()),
                () = wait_for_changes(self.shared, self.kind) => {
                    if self.catch_up().await? {
                        tracing::info!(kind = %self.kind, "a watch missed changes, watching anew");
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Waits for what others tell, and asks the store if they tell too little.
    async fn follow_peers(&mut self) -> Result<(), Error> {
        if self.kind == Kind::Evacuations {
            return self.follow_peer_evacuations().await;
        }
        tokio::select! {
            () = wait_for_changes(self.shared, self.kind) => {
                if self.kind == Kind::Configuration && self.fetch_from_peer().await {
                    return Ok(());
                }
                self.catch_up().await.map(drop)
            }
            () = self.shared.eras.changed() => Ok(()),
            () = tokio::time::sleep(ROLE_CHECK_INTERVAL) => Ok(()),
        }
    }

    /// Waits for what others tell of evacuations, and asks the store if they confirm nothing.
    async fn follow_peer_evacuations(&mut self) -> Result<(), Error> {
        if self.shared.evacuations_need_confirmation(clock::now()) {
            return self.catch_up().await.map(drop);
        }
        tokio::select! {
            () = self.shared.eras.changed() => {}
            () = tokio::time::sleep(CONFIRM_CHECK_INTERVAL) => {}
        }
        Ok(())
    }

    /// Takes a newer configuration from the entry that has told of it; returns whether it
    /// is known then. It proves nothing: proofs count for the version that they name.
    async fn fetch_from_peer(&mut self) -> bool {
        let jitter: f64 = self.shared.rng.borrow_mut().random();
        // Many hear of it at once, and those that have it by then pass it on as well.
        tokio::time::sleep(FETCH_SPREAD.mul_f64(jitter)).await;
        let Some((version, from)) = self.shared.lag.newest() else {
            return false;
        };
        // It may have been given in another era; of versions the larger is always the newer.
        let mut other = Store::<C>::new(from, Rc::default());
        match other.fetch_cached(self.kind).await {
            Ok(WatchAnswer { answer, body }) => {
                let now = clock::now();
                let era = answer.position.era();
                for change in answer.changes {
                    self.shared.apply(self.kind, change, answer.position, now);
                }
                self.shared.configuration_cache.set(era, body);
                let position = self.shared.position.get().newest(answer.position);
                self.shared.position.set(position);
                listing::announce(self.shared, self.socket);
            }
            Err(error) => tracing::info!(%from, %error, "configuration not had from another entry"),
        }
        self.shared.has_version(version)
    }

    /// Asks for the changes since what is known; returns whether there are any.
    async fn catch_up(&mut self) -> Result<bool, Error> {
        if self.is_outdated() {
            self.listed = false;
            return Ok(false);
        }
        let (from, asked) = (self.known(), clock::now());
        let answer = self.store.watch(self.kind, from, NO_WAIT).await?;
        Ok(self.apply(from, answer, asked))
    }

    /// Takes the changes after `from` and passes them on; returns whether there
    /// are any.
    fn apply(&mut self, from: Position, watched: WatchAnswer, asked: Instant) -> bool {
        let now = clock::now();
        self.shared.note_store_answer(self.kind, now);
        let WatchAnswer { answer, body } = watched;
        let changed = !answer.changes.is_empty();
        if self.is_superseded(from, answer.position) {
            return changed;
        }
        let endpoints = endpoints(&answer.changes);
        for change in answer.changes {
            self.shared.apply(self.kind, change, answer.position, now);
        }
        self.record_position(answer.position, asked);
        match self.kind {
            Kind::Endpoints if self.shared.watches(now) => {
                let changes_for_peers =
                    self.shared
                        .changes_for_peers(from, answer.position, endpoints, now);
                listing::pass_on(self.shared, self.socket, changes_for_peers);
            }
            Kind::Configuration if changed => {
                self.shared
                    .configuration_cache
                    .set(answer.position.era(), body);
                listing::announce(self.shared, self.socket);
            }
            Kind::Evacuations if changed => listing::announce(self.shared, self.socket),
            _ => {}
        }
        changed
    }
}

/// Waits for a sign that the store has objects of `kind` that aren't known, or that what is
/// known has to be confirmed.
async fn wait_for_changes(shared: &SharedState, kind: Kind) {
    match kind {
        Kind::Endpoints => shared.lag.wait_behind().await,
        Kind::Configuration | Kind::Entries => shared.lag.wait_outdated().await,
        Kind::Evacuations => tokio::time::sleep(shared.evacuation_check_interval()).await,
    }
}

/// Returns the endpoints in `changes`; what can't be read names none.
fn endpoints(changes: &[Change]) -> Vec<(String, Option<Endpoint>)> {
    let endpoint = |change: &Change| match &change.item {
        Ok(Some(Item::Endpoint(endpoint))) => (change.name.clone(), Some(endpoint.clone())),
        _ => (change.name.clone(), None),
    };
    changes.iter().map(endpoint).collect()
}
