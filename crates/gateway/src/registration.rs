//! Registration of entries in the store, through which they discover each other.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock;
use rand::Rng;

use crate::knowledge::SharedState;
use crate::store::{Codec, Kind, Store};

/// Time over which entries spread their renewed registrations after the store was restored
/// from an older copy.
const REGISTER_SPREAD: Duration = Duration::from_secs(2);
/// When entries are listed: soon after the start, when all have registered, and then rarely,
/// since entries also send each other their registrations. A stale listing costs a tenth of a
/// call.
const ENTRIES_DELAY: Duration = Duration::from_millis(600);
const ENTRIES_INTERVAL: Duration = Duration::from_secs(12);

/// Registers this entry, and again whenever the store may have lost the registration.
pub(crate) async fn run<C: Codec>(shared: Rc<SharedState>) {
    let mut store = shared.store::<C>();
    loop {
        let entry = shared.entry();
        let era = shared.eras.current();
        if let Err(error) = store.register(&entry).await {
            tracing::warn!(%error, "entry not registered yet");
            shared.note_store_failure(Kind::Entries, &error, clock::now());
            shared.wait_for_store_slot().await;
            continue;
        }
        tracing::info!(host = entry.host, era = era.0, "entry registered");
        shared.note_store_answer(Kind::Entries, clock::now());
        while era == shared.eras.current() {
            tokio::select! {
                () = shared.eras.changed() => {}
                () = shared.unregistered.notified() => break,
            }
        }
        let jitter: f64 = shared.rng.borrow_mut().random();
        tokio::time::sleep(REGISTER_SPREAD.mul_f64(jitter)).await;
        if shared.stopping.get().is_some() {
            return;
        }
    }
}

/// Reads the records of quarantines before this entry sends requests. If the store doesn't
/// answer, they follow with the first listing of entries.
async fn read_quarantines<C: Codec>(shared: &SharedState, store: &mut Store<C>) {
    match store.list(Kind::Entries, true).await {
        Ok(listing) => shared.apply_quarantine_records(listing.changes, clock::now()),
        Err(error) => tracing::warn!(%error, "records of quarantines not read at the start"),
    }
    shared.quarantines_read.set(true);
}

/// Lists the other entries periodically, after the records that are kept beside them.
pub(crate) async fn list<C: Codec>(shared: Rc<SharedState>) {
    let mut store = shared.store::<C>();
    read_quarantines(&shared, &mut store).await;
    tokio::select! {
        () = tokio::time::sleep(ENTRIES_DELAY) => {}
        // The listing contains the record that states whether the store's era has settled.
        () = shared.unsettled.notified() => {}
    }
    // A stale listing lacks the entries that have just registered.
    let mut stale = false;
    loop {
        match store
            .list(Kind::Entries, std::mem::replace(&mut stale, true))
            .await
        {
            Ok(listing) => {
                let now = clock::now();
                shared.note_store_answer(Kind::Entries, now);
                if listing.cut.is_none() {
                    shared.replace(Kind::Entries, listing.changes, listing.position, now);
                } else {
                    shared.merge(Kind::Entries, listing.changes, listing.position, now);
                }
            }
            Err(error) => {
                tracing::warn!(%error, "entries not listed");
                shared.note_store_failure(Kind::Entries, &error, clock::now());
                shared.wait_for_store_slot().await;
                continue;
            }
        }
        let first = shared.peers.borrow().ready_before(clock::now()) == 0;
        tokio::select! {
            // The first entry writes the missing records for its data centre.
            () = shared.eras.changed(), if first => {
                tokio::time::sleep(REGISTER_SPREAD).await;
                stale = false;
            }
            () = tokio::time::sleep(ENTRIES_INTERVAL) => {}
        }
    }
}
