//! The state shared by the halves and the tasks of a link.

use std::sync::{Arc, OnceLock};

use cactusnotch_telemetry::metric;
use tokio::sync::watch;

use crate::budget::Budget;
use crate::error::{Cause, Error, Step};
use crate::{Identity, Options, Reason, Stats};

/// The state shared by the halves and the tasks of a link.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) peer: Arc<str>,
    pub(crate) identity: Identity,
    pub(crate) stats: Arc<Stats>,
    pub(crate) frame_limit: usize,
    pub(crate) queue_messages: usize,
    pub(crate) queue_bytes: usize,
    pub(crate) outgoing: Budget,
    closing: OnceLock<String>,
    ended: watch::Sender<Option<Reason>>,
}

impl Shared {
    pub(crate) fn new(
        peer: &str,
        identity: Identity,
        stats: Arc<Stats>,
        options: &Options,
    ) -> Self {
        let queue_bytes = options.queue_bytes.max(options.frame_limit);
        Self {
            peer: format!("{peer} ({})", identity.process).into(),
            identity,
            stats,
            frame_limit: options.frame_limit,
            queue_messages: options.queue_messages,
            queue_bytes,
            outgoing: Budget::new(queue_bytes),
            closing: OnceLock::new(),
            ended: watch::Sender::new(None),
        }
    }

    pub(crate) fn error(&self, step: Step, cause: Cause) -> Error {
        Error {
            step,
            peer: Arc::clone(&self.peer),
            cause,
        }
    }

    /// Returns the error of a call after the link has ended.
    pub(crate) fn closed(&self, step: Step) -> Error {
        let reason = self.ended.borrow().clone();
        let reason = reason.unwrap_or_else(|| Reason::Local(self.closing_text().to_owned()));
        self.error(step, Cause::Closed(reason))
    }

    /// Records that this side has started to close the link.
    pub(crate) fn begin_close(&self, text: String) {
        let _ = self.closing.set(text);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get().is_some()
    }

    pub(crate) fn closing_text(&self) -> &str {
        self.closing.get().map_or("closing", String::as_str)
    }

    /// Ends the link. Only the first reason is recorded.
    pub(crate) fn end(&self, reason: Reason) {
        let first = self.ended.send_if_modified(|ended| {
            let first = ended.is_none();
            if first {
                metrics::counter!(metric::LINK_CLOSED, "reason" => reason.label()).increment(1);
                *ended = Some(reason);
            }
            first
        });
        if first {
            self.outgoing.close();
        }
    }

    /// Waits until the link has ended and returns the reason.
    pub(crate) async fn ended(&self) -> Reason {
        let mut ended = self.ended.subscribe();
        match ended.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(reason)) => reason.clone(),
            _ => Reason::Local("dropped".to_owned()),
        }
    }
}
