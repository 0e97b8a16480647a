//! The store's records of requests that are held.
//!
//! All entries may end at once, and callers come again to those that start: what only
//! entries remember would let such a request end as many endpoints as before.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use cactusnotch_base::clock;
use http::StatusCode;
use tokio::sync::Notify;

use crate::content::Content;
use crate::knowledge::Knowledge;
use crate::store::{Codec, Error, Hold, Kind, Store};

/// What is to be done to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Write {
    /// Writes it.
    Keep(Content),
    /// Removes it.
    Erase(Content),
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
pub(crate) async fn run<C: Codec>(knowledge: Rc<Knowledge>) {
    let mut store = knowledge.store::<C>();
    loop {
        let write = knowledge.records.next().await;
        while let Err(error) = carry_out(&knowledge, &mut store, write).await {
            tracing::warn!(?write, %error, "record of a held request not written yet");
            knowledge.store_fails(Kind::Entries, &error, clock::now());
            knowledge.turn().await;
        }
    }
}

async fn carry_out<C: Codec>(
    knowledge: &Knowledge,
    store: &mut Store<C>,
    write: Write,
) -> Result<(), Error> {
    let (done, what) = match write {
        Write::Keep(content) => {
            let left = knowledge.quarantine.borrow().holds(content, clock::now());
            // It may have been cleared meanwhile.
            let Some(left) = left else {
                return Ok(());
            };
            let until = clock::wall() + left;
            (store.hold(&Hold { content, until }).await, "kept")
        }
        Write::Erase(content) => (store.release(content).await, "removed"),
    };
    match done {
        // Another entry was first.
        Ok(()) | Err(Error::Refused(StatusCode::CONFLICT | StatusCode::NOT_FOUND)) => {}
        Err(error) => return Err(error),
    }
    if let Write::Keep(content) = write {
        knowledge.quarantine.borrow_mut().check(content, true);
    }
    tracing::info!(?write, "record of a held request {what}");
    Ok(())
}
