//! Watches whether the peer of a connection acknowledges its data.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock;
use socket2::SockRef;

use crate::figures::Figures;
use crate::liveness::{Liveness, UNACKNOWLEDGED_MAX};
use crate::stream::Shared;

/// The interval at which a connection with unacknowledged data should be checked: short enough
/// for several checks between the first window probe and the end of the time-out, also on a busy
/// host.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Extends the time-out of a connection while its peer answers.
#[derive(Debug)]
pub struct Monitor {
    shared: Rc<Shared>,
    liveness: RefCell<Liveness>,
    /// The time-out that the socket has.
    timeout: Cell<Duration>,
    is_blind: bool,
}

impl Monitor {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        let is_blind = Figures::read(&*shared.socket.borrow()).is_none();
        Self {
            is_blind,
            shared,
            liveness: RefCell::default(),
            timeout: Cell::new(UNACKNOWLEDGED_MAX),
        }
    }

    /// Checks the connection from each write on until its data is acknowledged.
    pub async fn run(&self) -> Infallible {
        if self.is_blind {
            return std::future::pending().await;
        }
        loop {
            self.written().await;
            while {
                tokio::time::sleep(CHECK_INTERVAL).await;
                self.check().is_some()
            } {}
        }
    }

    /// Returns whether the platform has no figures of connections; their time-out is fixed then.
    #[must_use]
    pub const fn is_blind(&self) -> bool {
        self.is_blind
    }

    /// Waits until data was written that the peer has not acknowledged at a check.
    pub async fn written(&self) {
        while !self.shared.is_unsettled.get() {
            self.shared.written.notified().await;
        }
    }

    /// Returns whether the kernel has taken all data.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.shared.is_flushed.get()
    }

    /// Sets the connection's time-out by its figures, and returns them if data waits for the peer.
    pub fn check(&self) -> Option<Figures> {
        if self.is_blind {
            return None;
        }
        let figures = Figures::read(&*self.shared.socket.borrow())?;
        let written = self.written_bytes();
        let mut liveness = self.liveness.borrow_mut();
        self.set_timeout(liveness.timeout(&figures, written, clock::now()));
        if self.unacknowledged(&figures) == 0 {
            self.shared.is_unsettled.set(false);
            return None;
        }
        Some(figures)
    }

    /// Returns whether the connection was reset or has timed out.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let figures = Figures::read(&*self.shared.socket.borrow());
        figures.is_some_and(|figures| figures.is_closed)
    }

    /// Returns the number of bytes that the kernel has taken.
    #[must_use]
    pub fn written_bytes(&self) -> u64 {
        self.shared.written_bytes.get()
    }

    /// Returns the number of written bytes that the peer has not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self, figures: &Figures) -> u64 {
        self.written_bytes().saturating_sub(figures.acknowledged)
    }

    /// Has the kernel keep data for the peer for `time`, also after the process has ended.
    pub fn keep_for(&self, time: Duration) {
        // The kernel counts from the first retransmission on, which the time-out in force covers.
        self.set_timeout(self.timeout.get() + time);
    }

    /// Has the connection reset when it is closed, so that the peer can't take data that was cut
    /// off for a complete response.
    pub fn reset_on_close(&self) {
        let socket = self.shared.socket.borrow();
        if let Err(error) = SockRef::from(&*socket).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "connection will not be reset");
        }
    }

    fn set_timeout(&self, timeout: Duration) {
        if self.timeout.replace(timeout) == timeout {
            return;
        }
        let socket = self.shared.socket.borrow();
        if let Err(error) = SockRef::from(&*socket).set_tcp_user_timeout(Some(timeout)) {
            tracing::debug!(%error, "time-out of a connection not set");
        }
    }
}
