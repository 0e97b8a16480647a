//! The state of an entry that its tasks share.

mod changes;
mod confirmation;
mod era;
mod evacuations;
mod listings;
mod outage;
mod retries;
mod settings;
mod statements;
mod suspects;
mod watches;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_position::{Era, Eras, Position};
use cactusnotch_telemetry::metric;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use crate::broken_runs::BrokenRuns;
use crate::budget::RetryBudgets;
use crate::configuration::Configuration;
use crate::configuration_cache::ConfigurationCache;
use crate::confirmation::Shown;
use crate::evacuations::Evacuations;
use crate::fleet::Fleet;
use crate::freshness::Freshness;
use crate::lag::Lag;
use crate::memory::Memory;
use crate::notifications::Notifications;
use crate::options::Options;
use crate::outage::Outage;
use crate::peer::Entry;
use crate::peers::Peers;
use crate::polls::Polls;
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::record::Records;
use crate::reported::ReportedErrors;
use crate::store::{Change, Codec, Item, Kind, Store, Unreadable};
use crate::store_health::StoreHealth;
use crate::time_budget::TimeBudgets;
use crate::waiting::Waiting;
use crate::wake::SuspendDetector;

/// The state of an entry that its tasks share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) options: RefCell<Rc<Options>>,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) evacuations: RefCell<Evacuations>,
    pub(crate) polls: RefCell<Polls>,
    /// The eras of the store, shared by all clients of this process.
    pub(crate) eras: Rc<Eras>,
    /// The position at which the configuration was last read.
    pub(crate) position: Cell<Position>,
    /// The latest configuration that the store has returned.
    pub(crate) shown: Cell<Shown>,
    pub(crate) lag: Lag,
    pub(crate) configuration_cache: ConfigurationCache,
    pub(crate) pool: Pool,
    pub(crate) memory: Memory,
    pub(crate) retry_budgets: RefCell<RetryBudgets>,
    pub(crate) time_budgets: RefCell<TimeBudgets>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) stopping: Cell<Option<Instant>>,
    /// Whether a stop has progressed to the point where no request is accepted.
    pub(crate) closing: Cell<bool>,
    /// Whether endpoints and entries, respectively, have been listed.
    listed: Cell<(bool, bool)>,
    outage: Cell<Outage>,
    pub(crate) store_health: RefCell<StoreHealth>,
    /// Notified when the store answers again.
    answered: Notify,
    /// Notified when this entry is missing from a listing of entries.
    pub(crate) unregistered: Notify,
    /// Notified when entries have been listed for the first time.
    pub(crate) entries_listed: Notify,
    /// The era that the state was last adapted to.
    applied_era: Cell<Era>,
    /// Until when no answer of the store can confirm the configuration.
    unconfirmed_until: Cell<Option<Instant>>,
    /// Notified when an answer confirms nothing because the store's era may be unsettled.
    pub(crate) unsettled: Notify,
    reported_errors: RefCell<ReportedErrors>,
    /// The requests during which endpoints have crashed.
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) broken_runs: RefCell<BrokenRuns>,
    /// Whether the records of quarantines have been read at the start, or could not be.
    pub(crate) quarantines_read: Cell<bool>,
    pub(crate) notifications: Notifications,
    pub(crate) records: Records,
    pub(crate) suspend_detector: SuspendDetector,
    pub(crate) waiting: Waiting,
}

impl SharedState {
    pub(crate) fn new(options: Options) -> Self {
        let memory = Memory::of_host(options.memory);
        Self {
            freshness: RefCell::new(Freshness::new(options.revocation_bound)),
            fleet: RefCell::new(Fleet::new(
                &options.host,
                &options.data_centre,
                options.warm_up,
            )),
            peers: RefCell::new(Peers::new(&options.host, &options.data_centre)),
            retry_budgets: RefCell::new(RetryBudgets::new(options.retry_ratio)),
            options: RefCell::new(Rc::new(options)),
            time_budgets: RefCell::default(),
            reported_errors: RefCell::default(),
            store_health: RefCell::default(),
            answered: Notify::new(),
            unregistered: Notify::new(),
            entries_listed: Notify::new(),
            applied_era: Cell::default(),
            unconfirmed_until: Cell::default(),
            unsettled: Notify::new(),
            configuration: RefCell::default(),
            polls: RefCell::default(),
            evacuations: RefCell::default(),
            eras: Rc::default(),
            position: Cell::default(),
            shown: Cell::default(),
            lag: Lag::default(),
            configuration_cache: ConfigurationCache::default(),
            memory,
            pool: Pool::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            in_flight: Cell::new(0),
            stopping: Cell::new(None),
            closing: Cell::new(false),
            listed: Cell::new((false, false)),
            outage: Cell::default(),
            quarantine: RefCell::default(),
            broken_runs: RefCell::default(),
            quarantines_read: Cell::new(false),
            notifications: Notifications::default(),
            records: Records::default(),
            suspend_detector: SuspendDetector::default(),
            waiting: Waiting::default(),
        }
    }

    pub(crate) fn options(&self) -> Rc<Options> {
        Rc::clone(&self.options.borrow())
    }

    pub(crate) fn store<C: Codec>(&self) -> Store<C> {
        Store::new(self.options.borrow().store, Rc::clone(&self.eras))
    }

    /// Returns this entry's registration.
    pub(crate) fn entry(&self) -> Entry {
        let options = self.options.borrow();
        Entry {
            host: options.host.clone(),
            data_centre: options.data_centre.clone(),
            listen: options.listen,
            peers: options.peers,
        }
    }

    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns whether callers should be sent to this entry.
    pub(crate) fn ready(&self, now: Instant) -> bool {
        self.stopping.get().is_none()
            && self.listed.get().0
            && self.configuration.borrow().is_some()
            && !self.lacks_evacuations()
            && self.quarantines_read.get()
            && self.freshness.borrow().holds(now)
    }

    /// Applies a change of one object.
    pub(crate) fn apply(&self, kind: Kind, change: Change, position: Position, now: Instant) {
        let Change { name, item } = change;
        match item {
            Err(error) => self.report_unreadable(kind, &name, position, &error, now),
            Ok(Some(Item::Configuration(new))) => self.apply_configuration(*new, position),
            Ok(Some(Item::Endpoint(endpoint))) => self.insert_endpoint(endpoint, position, now),
            Ok(Some(Item::Entry(entry))) => self.peers.borrow_mut().insert(entry),
            Ok(Some(Item::QuarantineRecord(record))) => self.apply_quarantine_record(&record, now),
            Ok(Some(Item::SettledEra(era))) => self.apply_settled_era(era, now),
            Ok(Some(Item::Evacuation)) => self.set_evacuated(&name, true, now),
            Ok(None) => self.forget(kind, &name, position, now),
        }
    }

    /// Handles an unreadable object, which another writer may have written. An endpoint or
    /// entry is then not used; of configurations the last valid one stays in force.
    fn report_unreadable(
        &self,
        kind: Kind,
        name: &str,
        position: Position,
        error: &Unreadable,
        now: Instant,
    ) {
        if self
            .reported_errors
            .borrow_mut()
            .is_new(name, &error.detail)
        {
            metrics::counter!(metric::GATEWAY_UNREADABLE).increment(1);
            tracing::error!(%kind, name, %position, %error, "object not taken");
        }
        match kind {
            Kind::Configuration | Kind::Evacuations => {}
            Kind::Endpoints => self.fleet.borrow_mut().remove(name, None, now),
            Kind::Entries => self.peers.borrow_mut().remove(name),
        }
    }

    fn forget(&self, kind: Kind, name: &str, position: Position, now: Instant) {
        match kind {
            Kind::Configuration => {
                tracing::error!(
                    name,
                    %position,
                    "configuration removed from the store, keeping the last one"
                );
            }
            Kind::Endpoints => {
                tracing::info!(
                    endpoint = name,
                    %position,
                    "endpoint no longer registered"
                );
                self.fleet
                    .borrow_mut()
                    .remove(name, self.outage.get().kept_until(now), now);
            }
            Kind::Entries => self.peers.borrow_mut().remove(name),
            Kind::Evacuations => self.set_evacuated(name, false, now),
        }
    }

    fn apply_configuration(&self, new: Configuration, position: Position) {
        self.note_shown(position, new.version);
        let known = self
            .configuration
            .borrow()
            .as_ref()
            .map_or(0, |known| known.version);
        if new.version == known && known > 0 {
            return;
        }
        if new.version < known {
            tracing::warn!(
                version = new.version,
                known,
                %position,
                "older configuration not taken"
            );
            return;
        }
        self.fleet
            .borrow_mut()
            .configure(new.services(), clock::now());
        let named = self.fleet.borrow_mut().take_named();
        for endpoint in named {
            self.insert_endpoint(endpoint, position, clock::now());
        }
        self.configure_groups(&new);
        self.time_budgets.borrow_mut().retain_routes(new.routes());
        tracing::info!(
            version = new.version,
            before = known,
            %position,
            "configuration in force"
        );
        *self.configuration.borrow_mut() = Some(Rc::new(new));
    }

    /// Settles deferred registrations, and drops endpoints still missing after an outage.
    pub(crate) fn drop_missing(&self, now: Instant) {
        self.fleet.borrow_mut().settle(now);
        for endpoint in self.fleet.borrow_mut().expire(now) {
            tracing::info!(endpoint, "endpoint still missing after the store's return");
        }
    }

    fn choose_subsets(&self) {
        let peers = self.peers.borrow();
        let host = self.options.borrow().host.clone();
        self.fleet
            .borrow_mut()
            .choose_subsets(&host, &peers.hosts());
    }

    /// Removes expired state; called periodically.
    pub(crate) fn tick(&self, now: Instant) {
        self.drop_missing(now);
        self.forget_suspects(now);
        self.expire_evacuations(now);
        for host in self.peers.borrow_mut().expire(now) {
            tracing::info!(host, "entry has fallen silent");
        }
        self.choose_subsets();
        let entries = self.peers.borrow().count();
        let known = self.listed.get().1;
        self.maintain_throttling(known, now);
        let slack = self.options.borrow().retry_slack;
        self.retry_budgets
            .borrow_mut()
            .share(slack, known.then_some(entries), now);
        let fleet = self.fleet.borrow();
        self.pool.sweep(now, |id| fleet.takes_work(id));
    }

    /// Returns this entry's share of an endpoint's connections.
    pub(crate) fn connections(&self, service: &str) -> u32 {
        let all = self
            .configuration
            .borrow()
            .as_ref()
            .and_then(|c| c.service(service).map(|s| s.connections));
        all.map_or(1, |all| (all / self.peers.borrow().count()).max(1))
    }
}
