//! Follows the responses of a connection until its peer has acknowledged them.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_tcp::{CHECK_INTERVAL, Figures, Monitor};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::in_flight::InFlight;

/// How long a peer that answers may take to read a response without a deadline, and at least to
/// read one with a deadline.
pub(crate) const READ_TIME: Duration = Duration::from_secs(2);
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

/// How a response reached the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The peer has acknowledged all of it, or the kernel has taken it on a platform that has no
    /// figures of connections.
    Delivered,
    /// The connection ended before.
    CutOff(Option<CutOff>),
}

/// A connection that ended while data waited for the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CutOff {
    /// The number of bytes that the peer has not acknowledged.
    pub(crate) unacknowledged: u64,
    pub(crate) figures: Figures,
}

/// The responses of a connection that its peer has not acknowledged.
#[derive(Default)]
pub(crate) struct Delivery {
    open: RefCell<Vec<Rc<Undelivered>>>,
    /// Wakes the follower when a response was handed over to the connection.
    handed_over: Rc<Notify>,
}

/// A response that its peer has not acknowledged.
struct Undelivered {
    /// Until when the peer may take to read it; `None` while it is not known.
    due: Cell<Option<Instant>>,
    /// Whether the HTTP library has taken the whole body.
    is_handed_over: Cell<bool>,
    /// The number of bytes written to the connection when the kernel had taken the whole response.
    written: Cell<Option<u64>>,
    outcome: Cell<Option<Outcome>>,
    /// Wakes the receipt's owner.
    changed: Notify,
    /// Counts the request as in flight until then.
    in_flight: Cell<Option<InFlight>>,
}

/// Waits for the outcome of a response.
pub(crate) struct Receipt(Rc<Undelivered>);

/// A body that reports when the connection has taken it.
pub(crate) struct Tracked<B> {
    body: B,
    _tracker: Tracker,
}

/// Reports that the connection has taken a body when it is dropped.
pub(crate) struct Tracker {
    undelivered: Rc<Undelivered>,
    handed_over: Rc<Notify>,
}

impl Delivery {
    /// Opens a response.
    pub(crate) fn open(&self, monitor: &Monitor) -> (Tracker, Receipt) {
        self.mark_written(monitor);
        let undelivered = Rc::new(Undelivered {
            due: Cell::new(None),
            is_handed_over: Cell::new(false),
            written: Cell::new(None),
            outcome: Cell::new(None),
            changed: Notify::new(),
            in_flight: Cell::new(None),
        });
        self.open.borrow_mut().push(Rc::clone(&undelivered));
        let tracker = Tracker {
            undelivered: Rc::clone(&undelivered),
            handed_over: Rc::clone(&self.handed_over),
        };
        (tracker, Receipt(undelivered))
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

    /// Waits until the peer of a connection without further responses has acknowledged them.
    pub(crate) async fn finish(&self, monitor: &Monitor) {
        while !self.check(monitor) && !self.is_overdue(clock::now()) {
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
                response.written.set(Some(monitor.written_bytes()));
                response.changed.notify_one();
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
                response.outcome.set(Some(outcome));
                response.changed.notify_one();
                response.in_flight.set(None);
            }
            !applies
        });
    }
}

/// Has the kernel keep the rest of responses for the peer if the process ends before the peer has
/// read them.
struct Remainder<'a> {
    delivery: &'a Delivery,
    monitor: &'a Monitor,
}

impl Drop for Remainder<'_> {
    fn drop(&mut self) {
        let open = self.delivery.open.borrow();
        let handed_over = open.iter().filter(|response| response.is_handed_over.get());
        if let Some(due) = handed_over.filter_map(|response| response.due.get()).max() {
            self.monitor.keep_for(due.remaining());
        }
    }
}

impl Receipt {
    /// Sets until when the peer may take to read the response.
    pub(crate) fn set_due(&self, due: Instant) {
        self.0.due.set(Some(due.max(clock::now() + READ_TIME)));
    }

    /// Counts the request as in flight until the response has reached the peer or its connection
    /// has ended.
    pub(crate) fn hold(&self, in_flight: InFlight) {
        self.0.in_flight.set(Some(in_flight));
    }

    /// Waits until the kernel has taken the response or its connection has ended.
    pub(crate) async fn written(&self) {
        while self.0.written.get().is_none() && self.0.outcome.get().is_none() {
            self.0.changed.notified().await;
        }
    }

    /// Waits until the response has reached the peer or its connection has ended.
    pub(crate) async fn outcome(&self) -> Outcome {
        loop {
            if let Some(outcome) = self.0.outcome.get() {
                return outcome;
            }
            self.0.changed.notified().await;
        }
    }
}

impl Tracker {
    pub(crate) const fn track<B>(self, body: B) -> Tracked<B> {
        Tracked {
            body,
            _tracker: self,
        }
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.undelivered.is_handed_over.set(true);
        self.handed_over.notify_one();
    }
}

impl<B: Body + Unpin> Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
