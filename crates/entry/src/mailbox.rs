//! Dispatches agents' replies to the requests that await them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use cactusnotch_attempt::Event;
use cactusnotch_base::Table;
use cactusnotch_base::name::Endpoint;
use cactusnotch_ledger::{Attempt, Reply};
use cactusnotch_telemetry::metric;
use tokio::sync::mpsc;

/// The most replies that are queued for one request; on overflow its mailbox
/// is closed.
pub(crate) const DEPTH: usize = 8192;

#[derive(Debug)]
struct Slot {
    endpoint: Endpoint,
    sender: mpsc::Sender<Event>,
}

/// The mailboxes of the requests in flight, by the attempt that identifies
/// their conversation with an agent.
#[derive(Debug, Default)]
pub(crate) struct Mailboxes {
    slots: Mutex<Table<Attempt, Slot>>,
}

impl Mailboxes {
    /// Directs replies of `endpoint` in `conversation` to `sender`.
    pub(crate) fn open(
        &self,
        conversation: Attempt,
        endpoint: Endpoint,
        sender: mpsc::Sender<Event>,
    ) {
        let slot = Slot { endpoint, sender };
        self.lock().insert(conversation, slot);
    }

    /// Ends a conversation.
    pub(crate) fn close(&self, conversation: Attempt) {
        self.lock().remove(&conversation);
    }

    /// Delivers a reply from `endpoint`. Drops a reply whose conversation has
    /// ended or belongs to another endpoint.
    pub(crate) fn deliver(&self, endpoint: &Endpoint, reply: Reply) {
        let conversation = reply.attempt();
        let mut slots = self.lock();
        let Some(slot) = slots.get(&conversation) else {
            return;
        };
        if slot.endpoint != *endpoint {
            metrics::counter!(metric::ENTRY_FOREIGN_REPLIES).increment(1);
            return;
        }
        if slot.sender.try_send(Event::Reply(reply)).is_err() {
            slots.remove(&conversation);
        }
    }

    /// Notifies every request with a conversation with `endpoint` that the
    /// link was lost.
    pub(crate) fn link_lost(&self, endpoint: &Endpoint) {
        self.lock().retain(|_, slot| {
            slot.endpoint != *endpoint
                || slot
                    .sender
                    .try_send(Event::LinkLost(endpoint.clone()))
                    .is_ok()
        });
    }

    fn lock(&self) -> MutexGuard<'_, Table<Attempt, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
