//! Follows the responses of a connection until its peer has acknowledged them.

mod outcome;
mod receipt;
mod remainder;
mod tracked;
mod undelivered;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_tcp::{CHECK_INTERVAL, Monitor};
use tokio::sync::Notify;

use outcome::CutOff;
pub(crate) use outcome::Outcome;
pub(crate) use receipt::Receipt;
use remainder::Remainder;
use tracked::Tracker;
use undelivered::Undelivered;

/// The interval of checks while the end of a response is awaited.
const FINISH_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a connection until its peer has acknowledged the last response, or has not read one in
/// time.
pub(crate) async fn serve(
    connection: impl Future<Output = hyper::Result<()>>,
    delivery: &Delivery,
    monitor: &Monitor,
) {
    let _remainder = Remainder { delivery, monitor };
    let served = tokio::select! {
        served = connection => Some(served),
        () = delivery.follow(monitor) => None,
    };
    match served {
        Some(Ok(())) => delivery.finish(monitor).await,
        Some(Err(error)) => tracing::debug!(%error, "connection ended"),
        None => tracing::info!("connection closed, its peer has not read a response in time"),
    }
    delivery.end(monitor);
}

/// The responses of a connection that its peer has not acknowledged.
#[derive(Default)]
pub(crate) struct Delivery {
    open: RefCell<Vec<Rc<Undelivered>>>,
    /// Wakes the follower when a response was handed over to the connection.
    handed_over: Rc<Notify>,
}

impl Delivery {
    /// Opens a response.
    pub(crate) fn open(&self, monitor: &Monitor) -> (Tracker, Receipt) {
        self.mark_written(monitor);
        let undelivered = Rc::<Undelivered>::default();
        self.open.borrow_mut().push(Rc::clone(&undelivered));
        let tracker = Tracker::new(Rc::clone(&undelivered), Rc::clone(&self.handed_over));
        (tracker, Receipt::new(undelivered))
    }

    /// Follows the responses of a connection; returns when its peer has not read one in time.
    pub(crate) async fn follow(&self, monitor: &Monitor) {
        loop {
            tokio::select! {
                () = monitor.written(), if !monitor.is_blind() => {}
                () = self.handed_over.notified() => {}
            }
            while !self.check(monitor) {
                if self.is_overdue(clock::now()) {
                    return;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Waits until the peer of a connection without further responses has acknowledged them, or
    /// can't any more.
    pub(crate) async fn finish(&self, monitor: &Monitor) {
        while !self.check(monitor) && !monitor.is_closed() && !self.is_overdue(clock::now()) {
            tokio::time::sleep(FINISH_INTERVAL).await;
        }
    }

    /// Resolves responses that have reached the peer; returns whether no data waits for it.
    fn check(&self, monitor: &Monitor) -> bool {
        self.mark_written(monitor);
        let waiting = monitor.check();
        let acknowledged = waiting.map_or(u64::MAX, |figures| figures.acknowledged);
        let is_delivered = |response: &Undelivered| {
            let written = response.written.get();
            written.is_some_and(|written| written <= acknowledged)
        };
        self.resolve(is_delivered, Outcome::Delivered);
        waiting.is_none() && monitor.is_flushed()
    }

    /// Marks responses that the kernel has taken.
    fn mark_written(&self, monitor: &Monitor) {
        if !monitor.is_flushed() {
            return;
        }
        for response in self.open.borrow().iter() {
            if response.is_handed_over.get() && response.written.get().is_none() {
                response.mark_written(monitor.written_bytes());
            }
        }
    }

    /// Resolves all responses of a connection that has ended.
    pub(crate) fn end(&self, monitor: &Monitor) {
        let cut_off = monitor.check().map(|figures| CutOff {
            unacknowledged: monitor.unacknowledged(&figures),
            figures,
        });
        if cut_off.is_some() {
            monitor.reset_on_close();
        }
        self.resolve(|_| true, Outcome::CutOff(cut_off));
    }

    fn is_overdue(&self, now: Instant) -> bool {
        let open = self.open.borrow();
        let mut due = open.iter().filter_map(|response| response.due.get());
        due.any(|due| due <= now)
    }

    fn resolve(&self, applies: impl Fn(&Undelivered) -> bool, outcome: Outcome) {
        self.open.borrow_mut().retain(|response| {
            let applies = applies(response);
            if applies {
                response.resolve(outcome);
            }
            !applies
        });
    }
}
