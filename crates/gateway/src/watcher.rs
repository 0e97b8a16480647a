//! Follows the store's objects of one kind.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_position::Position;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::endpoint::Endpoint;
use crate::gossip;
use crate::knowledge::SharedState;
use crate::spacing::Spacing;
use crate::store::{Change, Codec, Error, Item, Kind, Store, WatchAnswer};

/// Maximum duration of one watch. A store that refuses a host may leave a watch hanging while
/// the connection stays open. Calls that don't wait detect that, so watches may be long; each
/// one is a billed call.
const WATCH_MAX: Duration = Duration::from_secs(20);
/// Time after its start during which an entry doesn't watch. Until then it has not discovered
/// the others, and all entries that start together would watch.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which an entry that follows others checks whether it has to watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(600);
/// Interval at which an entry that follows others' reports of evacuations checks whether
/// these still confirm its state.
const CONFIRM_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Wait time of a watch that only confirms the cached state.
pub(crate) const NO_WAIT: Duration = Duration::from_millis(1);
/// Minimum time between two watches of a kind. A watch returns with the first change, so many
/// endpoints that register at once would cost a call each; within this time their changes
/// arrive together. It is far below the time within which a change has to be in force.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Time over which entries spread the fetch of a newer configuration. A configuration with
/// 1,400 routes has about 0.4 MB, which an entry's link of 40 Mbit/s transfers in a tenth of
/// a second; it has to be in force within two seconds.
const FETCH_SPREAD: Duration = Duration::from_millis(400);
/// Time over which entries spread the new listing of endpoints after the store was restored
/// from an older copy. Including the time to detect the restore, they finish within the three
/// seconds in which an entry has to observe which endpoints left, and 380 entries with a
/// thousand endpoints stay within the store's rate of calls.
const RELIST_SPREAD: Duration = Duration::from_secs(1);

/// Follows the objects of `kind` until the process ends.
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
                tracing::info!(%kind, "changes no longer available in the store, listing again");
                shared.note_store_answer(kind, clock::now());
                follower.listed = false;
            }
            Err(error) => {
                shared.note_store_failure(kind, &error, clock::now());
                // A watch that is refused is replaced by listings, which are spaced.
                follower.listed &= !error.is_refusal();
            }
        }
    }
}

/// Follows the objects of one kind: by a watch if this entry watches on behalf of its data
/// centre, and by reports of other entries otherwise.
struct Follower<'a, C> {
    shared: &'a SharedState,
    socket: &'a UdpSocket,
    kind: Kind,
    /// For calls that don't wait, while a watch may be in progress.
    store: Store<C>,
    /// Whether the objects have been listed, so changes since then can be applied.
    listed: bool,
    /// Spaces listings that the store answers.
    spacing: Spacing,
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
            spacing: Spacing::default(),
            started: clock::now(),
        }
    }

    /// Continues from the cached position, until one answer of the store or a timeout.
    async fn follow(&mut self, watching: &mut Store<C>) -> Result<(), Error> {
        if self.kind != Kind::Configuration && self.is_outdated() {
            self.wait_for_relist_slot().await;
            self.listed = false;
            return Ok(());
        }
        if self.shared.store_health.borrow().is_lost() {
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

    /// Returns whether this entry watches on behalf of its data centre.
    fn watches(&self) -> bool {
        match self.kind {
            Kind::Evacuations => self.shared.watches_evacuations(clock::now()),
            _ => self.shared.watches(clock::now()),
        }
    }

    /// Returns whether the cached state was read in an earlier era of the store, or may have
    /// been.
    fn is_outdated(&self) -> bool {
        let eras = &self.shared.eras;
        self.known().era() != eras.current() || eras.is_unconfirmed()
    }

    /// Waits for this entry's turn to list again: the entries that watch on behalf of others
    /// list first.
    async fn wait_for_relist_slot(&self) {
        if self.shared.watches(clock::now()) {
            return;
        }
        let jitter: f64 = self.shared.rng.borrow_mut().random();
        tokio::time::sleep(RELIST_SPREAD.mul_f64(jitter)).await;
    }

    async fn list(&mut self) -> Result<(), Error> {
        self.shared.wait_for_store_slot().await;
        tokio::time::sleep(self.spacing.left(clock::now())).await;
        let sent_at = clock::now();
        let listing = self.store.list(self.kind, false).await;
        let now = clock::now();
        if !listing.as_ref().is_err_and(Error::is_unavailable) {
            self.spacing.record(now);
        }
        let listing = listing?;
        self.shared.note_store_answer(self.kind, now);
        let position = listing.position;
        if position < self.known() {
            // Other entries have reported later changes in the meantime.
            return Err(Error::Outdated);
        }
        if !listing.suffices(self.kind) {
            self.shared.merge(self.kind, listing.changes, position, now);
            return listing.cut.map_or(Ok(()), |cut| Err(Error::Cut(cut)));
        }
        self.shared
            .replace(self.kind, listing.changes, position, now);
        self.record_position(position, sent_at);
        self.listed = true;
        Ok(())
    }

    /// Returns the position up to which the cached objects are complete.
    fn known(&self) -> Position {
        match self.kind {
            Kind::Endpoints => self.shared.lag.progress().known(),
            Kind::Configuration | Kind::Entries => self.shared.position.get(),
            Kind::Evacuations => self.shared.evacuations.borrow().position(),
        }
    }

    /// Records that the cached objects are complete up to `position`, by an answer to a call
    /// that was sent at `sent_at`.
    fn record_position(&self, position: Position, sent_at: Instant) {
        match self.kind {
            Kind::Endpoints => self.shared.lag.advance(position),
            Kind::Configuration => self.shared.confirm_configuration(position, sent_at),
            Kind::Entries => {}
            Kind::Evacuations => {
                let mut evacuations = self.shared.evacuations.borrow_mut();
                evacuations.confirm(position, sent_at);
            }
        }
    }

    /// Returns whether reports of other entries already cover an answer with the changes
    /// after `from` up to `to`. Applying the answer could then revert later changes.
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
        let (from, sent_at) = (self.known(), clock::now());
        let waiting = watching.watch(self.kind, from, WATCH_MAX);
        tokio::pin!(waiting);
        loop {
            tokio::select! {
                answer = &mut waiting => {
                    if self.apply(from, answer?, sent_at) {
                        tokio::time::sleep(WATCH_INTERVAL_MIN.saturating_sub(sent_at.elapsed())).await;
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

    /// Waits for reports of other entries, and calls the store if they are incomplete.
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

    /// Waits for reports of evacuations from other entries, and calls the store without a
    /// recent confirmation.
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

    /// Fetches a newer configuration from the entry that reported it; returns whether it is
    /// cached afterwards. This confirms nothing: a confirmation counts for the version that
    /// it names.
    async fn fetch_from_peer(&mut self) -> bool {
        let jitter: f64 = self.shared.rng.borrow_mut().random();
        // Many entries receive the report at once. Those that have fetched the configuration
        // by the end of the delay serve it as well.
        tokio::time::sleep(FETCH_SPREAD.mul_f64(jitter)).await;
        let Some((version, from)) = self.shared.lag.newest() else {
            return false;
        };
        // The answer may be of another era, but the larger version number is always the newer
        // configuration.
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
                gossip::announce(self.shared, self.socket);
            }
            Err(error) => tracing::info!(%from, %error, "configuration not had from another entry"),
        }
        self.shared.has_version(version)
    }

    /// Calls the store for changes after the cached position; returns whether there are any.
    async fn catch_up(&mut self) -> Result<bool, Error> {
        if self.is_outdated() {
            self.listed = false;
            return Ok(false);
        }
        let (from, sent_at) = (self.known(), clock::now());
        let answer = self.store.watch(self.kind, from, NO_WAIT).await?;
        Ok(self.apply(from, answer, sent_at))
    }

    /// Applies the changes after `from` and forwards them; returns whether there are any.
    fn apply(&mut self, from: Position, watched: WatchAnswer, sent_at: Instant) -> bool {
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
        self.record_position(answer.position, sent_at);
        match self.kind {
            Kind::Endpoints if self.shared.watches(now) => {
                let changes_for_peers =
                    self.shared
                        .changes_for_peers(from, answer.position, endpoints, now);
                gossip::forward_changes(self.shared, self.socket, changes_for_peers);
            }
            Kind::Configuration if changed => {
                self.shared
                    .configuration_cache
                    .set(answer.position.era(), body);
                gossip::announce(self.shared, self.socket);
            }
            Kind::Evacuations if changed => gossip::announce(self.shared, self.socket),
            _ => {}
        }
        changed
    }
}

/// Waits until the store has changes of `kind` that are not cached, or until the cached state
/// has to be confirmed.
async fn wait_for_changes(shared: &SharedState, kind: Kind) {
    match kind {
        Kind::Endpoints => shared.lag.wait_behind().await,
        Kind::Configuration | Kind::Entries => shared.lag.wait_outdated().await,
        Kind::Evacuations => tokio::time::sleep(shared.evacuation_check_interval()).await,
    }
}

/// Returns the endpoints in `changes`; an unreadable one counts as removed.
fn endpoints(changes: &[Change]) -> Vec<(String, Option<Endpoint>)> {
    let endpoint = |change: &Change| match &change.item {
        Ok(Some(Item::Endpoint(endpoint))) => (change.name.clone(), Some(endpoint.clone())),
        _ => (change.name.clone(), None),
    };
    changes.iter().map(endpoint).collect()
}
