//! The records in the store that entries need at their start.
//!
//! All entries may terminate at once, and callers then retry at newly started ones. If
//! quarantined requests were only kept in memory, they could crash as many endpoints again. A
//! new entry also can't detect on its own whether the store was just restored from an older
//! copy.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use cactusnotch_base::clock;
use cactusnotch_position::Era;
use http::StatusCode;
use tokio::sync::Notify;

use crate::content::Fingerprint;
use crate::knowledge::SharedState;
use crate::store::{Codec, Error, Kind, QuarantineRecord, Store};

/// A pending write to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Write {
    /// Creates the record of a quarantined request.
    Keep(Fingerprint),
    /// Removes the record of a quarantined request.
    Erase(Fingerprint),
    /// Records that an era of the store has settled.
    Settle(Era),
}

/// The queue of pending writes.
#[derive(Debug, Default)]
pub(crate) struct Records {
    due: RefCell<VecDeque<Write>>,
    pushed: Notify,
}

impl Records {
    /// Queues a write, unless it is already queued.
    pub(crate) fn push(&self, write: Write) {
        if !self.due.borrow().contains(&write) {
            self.due.borrow_mut().push_back(write);
            self.pushed.notify_one();
        }
    }

    async fn next(&self) -> Write {
        loop {
            if let Some(write) = self.due.borrow_mut().pop_front() {
                return write;
            }
            self.pushed.notified().await;
        }
    }
}

/// Carries out the queued writes until the process ends.
pub(crate) async fn run<C: Codec>(shared: Rc<SharedState>) {
    let mut store = shared.store::<C>();
    loop {
        let write = shared.records.next().await;
        while let Err(error) = carry_out(&shared, &mut store, write).await {
            tracing::warn!(?write, %error, "record not written yet");
            shared.note_store_failure(Kind::Entries, &error, clock::now());
            shared.wait_for_store_slot().await;
        }
    }
}

async fn carry_out<C: Codec>(
    shared: &SharedState,
    store: &mut Store<C>,
    write: Write,
) -> Result<(), Error> {
    let done = match write {
        Write::Keep(fingerprint) => {
            keep(shared, store, fingerprint).await?;
            "record of a held request kept"
        }
        Write::Erase(fingerprint) => {
            accept_already_done(store.remove_quarantine(fingerprint).await)?;
            "record of a held request removed"
        }
        // A later era may have started since the write was queued.
        Write::Settle(era) if era != shared.eras.current() => return Ok(()),
        Write::Settle(era) => {
            store.write_settled_era(era).await?;
            "record of a settled era kept"
        }
    };
    tracing::info!(?write, "{done}");
    Ok(())
}

async fn keep<C: Codec>(
    shared: &SharedState,
    store: &mut Store<C>,
    fingerprint: Fingerprint,
) -> Result<(), Error> {
    let left = shared
        .quarantine
        .borrow()
        .time_left(fingerprint, clock::now());
    // It may have been cleared since the write was queued.
    let Some(left) = left else {
        return Ok(());
    };
    let record = QuarantineRecord {
        fingerprint,
        companions: shared.quarantine.borrow().companions(fingerprint),
        until: clock::wall() + left,
    };
    accept_already_done(store.create_quarantine(&record).await)?;
    shared
        .quarantine
        .borrow_mut()
        .note_record(fingerprint, true);
    Ok(())
}

/// Treats a conflict or a missing object as success: another entry was first.
fn accept_already_done(result: Result<(), Error>) -> Result<(), Error> {
    match result {
        Err(Error::Refused(StatusCode::CONFLICT | StatusCode::NOT_FOUND)) => Ok(()),
        result => result,
    }
}
