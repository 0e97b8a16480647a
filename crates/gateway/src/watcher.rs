//! Follows the store's objects of one kind.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::knowledge::Knowledge;
use crate::store::{Codec, Error, Kind, Store};

/// The pause after the first failed call, doubled with each further one. Each
/// call is counted and paid for, refused ones too.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause, so that an entry is back soon after the store is.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// The longest wait of one watch. A store that turns a host away may leave its
/// waiting watch hanging and the connection sound, so that changes after its
/// return are seen only with the next watch; an endpoint that leaves must be
/// known two seconds after that.
const WATCH_MAX: Duration = Duration::from_millis(2_500);
/// How often the age of the proof is looked at.
const PROOF_LOOK: Duration = Duration::from_millis(150);
/// The wait of a watch that is only to prove what is known.
const NO_WAIT: Duration = Duration::from_millis(1);
/// The least time between two watches of a kind. A watch returns with the
/// first change, and when many endpoints come at once each would be a call of
/// its own; within this time they come together. It is far below the time
/// within which a change has to be in force.
const WATCH_EVERY: Duration = Duration::from_millis(250);
/// When entries are listed: soon after the start, when all have registered,
/// and then rarely, since entries also make themselves known to each other. A
/// stale listing costs a tenth of a call.
const ENTRIES_FIRST: Duration = Duration::from_millis(1_500);
const ENTRIES_EVERY: Duration = Duration::from_secs(12);

/// The health of the connection to the store, for the log.
#[derive(Debug, Default)]
struct Link {
    lost: Option<Instant>,
    failures: u32,
}

impl Link {
    /// Notes a failure and returns how long to pause.
    fn fail(&mut self, kind: Kind, error: &Error, now: Instant, jitter: f64) -> Duration {
        if self.lost.is_none() {
            self.lost = Some(now);
            tracing::warn!(%kind, %error, "store lost");
        }
        self.failures = self.failures.saturating_add(1);
        let factor = 1_u32.checked_shl(self.failures - 1).unwrap_or(u32::MAX);
        PAUSE
            .saturating_mul(factor)
            .min(PAUSE_MAX)
            .mul_f64(0.5 + jitter / 2.0)
    }

    /// Notes an answer; returns whether an outage has ended with it.
    fn answer(&mut self, kind: Kind, now: Instant) -> bool {
        self.failures = 0;
        let Some(lost) = self.lost.take() else {
            return false;
        };
        let ms = u64::try_from(now.saturating_duration_since(lost).as_millis()).unwrap_or(u64::MAX);
        tracing::info!(%kind, ms, "store regained");
        true
    }
}

/// Follows the objects of `kind` for as long as the process lives.
pub(crate) async fn run<C: Codec>(knowledge: Rc<Knowledge>, kind: Kind) {
    let mut link = Link::default();
    loop {
        let Err(error) = follow::<C>(&knowledge, kind, &mut link).await;
        if matches!(error, Error::HistoryGone) {
            tracing::info!(%kind, "changes are gone from the store, listing anew");
            continue;
        }
        let jitter = knowledge.rng.borrow_mut().random();
        let pause = link.fail(kind, &error, Instant::now(), jitter);
        tokio::time::sleep(pause).await;
    }
}

async fn follow<C: Codec>(
    knowledge: &Rc<Knowledge>,
    kind: Kind,
    link: &mut Link,
) -> Result<std::convert::Infallible, Error> {
    let mut store = Store::<C>::new(knowledge.options().store);
    let asked = Instant::now();
    let listing = store.list(kind, false).await?;
    let now = Instant::now();
    if link.answer(kind, now) {
        knowledge.store_returned(now);
    }
    let mut revision = listing.revision;
    note(knowledge, kind, revision);
    knowledge.replace(kind, listing.changes, revision, now);
    prove(knowledge, kind, asked);
    loop {
        let asked = Instant::now();
        let answer = store.watch(kind, revision, WATCH_MAX).await?;
        let now = Instant::now();
        revision = revision.max(answer.revision);
        note(knowledge, kind, revision);
        let changed = !answer.changes.is_empty();
        for change in answer.changes {
            knowledge.apply(kind, change, revision, now);
        }
        prove(knowledge, kind, asked);
        if changed {
            tokio::time::sleep(WATCH_EVERY.saturating_sub(now.saturating_duration_since(asked)))
                .await;
        }
    }
}

/// Lists the other entries now and then.
pub(crate) async fn entries<C: Codec>(knowledge: Rc<Knowledge>) {
    let mut store = Store::<C>::new(knowledge.options().store);
    tokio::time::sleep(ENTRIES_FIRST).await;
    loop {
        match store.list(Kind::Entries, true).await {
            Ok(listing) => knowledge.replace(
                Kind::Entries,
                listing.changes,
                listing.revision,
                Instant::now(),
            ),
            Err(error) => tracing::warn!(%error, "entries not listed"),
        }
        tokio::time::sleep(ENTRIES_EVERY).await;
    }
}

/// Notes that the configuration is as the store had it at `asked` or later.
fn prove(knowledge: &Knowledge, kind: Kind, asked: Instant) {
    if kind == Kind::Configuration {
        knowledge.freshness.borrow_mut().renew(asked);
    }
}

/// Notes up to which revision the configuration is known.
fn note(knowledge: &Knowledge, kind: Kind, revision: crate::store::Revision) {
    if kind == Kind::Configuration {
        knowledge.revision.set(revision);
    }
}

/// Keeps the proof of the configuration fresh, by own calls or by those of
/// other entries.
pub(crate) async fn keep_proof<C: Codec>(knowledge: Rc<Knowledge>) {
    let mut store = Store::<C>::new(knowledge.options().store);
    loop {
        tokio::time::sleep(PROOF_LOOK).await;
        let now = Instant::now();
        let age = knowledge.freshness.borrow().age(now);
        // The watch lists the configuration first.
        if age.is_none_or(|age| age < knowledge.prove_after(now)) {
            continue;
        }
        if let Err(error) = renew(&knowledge, &mut store).await {
            tracing::debug!(%error, "configuration not proved");
            tokio::time::sleep(PAUSE_MAX / 2).await;
        }
    }
}

async fn renew<C: Codec>(knowledge: &Knowledge, store: &mut Store<C>) -> Result<(), Error> {
    let kind = Kind::Configuration;
    let asked = Instant::now();
    let answer = match store.watch(kind, knowledge.revision.get(), NO_WAIT).await {
        Err(Error::HistoryGone) => store.list(kind, false).await?,
        answer => answer?,
    };
    let now = Instant::now();
    for change in answer.changes {
        knowledge.apply(kind, change, answer.revision, now);
    }
    prove(knowledge, kind, asked);
    Ok(())
}

/// Makes this entry known to the others.
pub(crate) async fn register<C: Codec>(knowledge: Rc<Knowledge>) {
    let entry = knowledge.entry();
    let mut store = Store::<C>::new(knowledge.options().store);
    let mut pause = PAUSE;
    while let Err(error) = store.register(&entry).await {
        tracing::warn!(%error, "entry not registered yet");
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
    tracing::info!(host = entry.host, "entry registered");
}
