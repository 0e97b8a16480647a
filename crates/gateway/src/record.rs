//! The store's records of what entries that start have to know.
//!
//! All entries may end at once. Callers come again to those that start, and what only entries
//! remember would let a request that was held end as many endpoints as before; and an entry
//! that starts can't tell by itself whether the store has just come back from an older copy.

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

/// What is to be done to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Write {
    /// Writes it.
    Keep(Fingerprint),
    /// Removes it.
    Erase(Fingerprint),
    /// Writes that an era of the store has settled.
    Settle(Era),
}

/// What is to be done to records.
#[derive(Debug, Default)]
pub(crate) struct Records {
    due: RefCell<VecDeque<Write>>,
    pushed: Notify,
}

impl Records {
    /// Has a record written or removed.
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

/// Writes and removes records for as long as the process lives.
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
        Write::Keep(content) => {
            keep(shared, store, content).await?;
            "record of a held request kept"
        }
        Write::Erase(content) => {
            accept_already_done(store.remove_quarantine(content).await)?;
            "record of a held request removed"
        }
        // Another one may have begun meanwhile.
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
    content: Fingerprint,
) -> Result<(), Error> {
    let left = shared.quarantine.borrow().time_left(content, clock::now());
    // It may have been cleared meanwhile.
    let Some(left) = left else {
        return Ok(());
    };
    let until = clock::wall() + left;
    accept_already_done(
        store
            .create_quarantine(&QuarantineRecord { content, until })
            .await,
    )?;
    shared.quarantine.borrow_mut().note_record(content, true);
    Ok(())
}

/// Takes it for done if another entry was first.
fn accept_already_done(result: Result<(), Error>) -> Result<(), Error> {
    match result {
        Err(Error::Refused(StatusCode::CONFLICT | StatusCode::NOT_FOUND)) => Ok(()),
        result => result,
    }
}
