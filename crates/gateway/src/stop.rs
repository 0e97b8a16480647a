//! Shuts an entry down gracefully.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gossip;
use crate::knowledge::SharedState;
use crate::store::Codec;

/// How long requests are still accepted after a stop was requested: some callers cache
/// a list of addresses for three times its stated lifetime. Later requests are refused,
/// since they might not complete in time.
const ACCEPT_TIME: Duration = Duration::from_secs(3);
/// The margin kept at the end of the stop's grace period.
const END_MARGIN: Duration = Duration::from_millis(500);
/// The interval at which a stopping entry checks whether its last request has
/// completed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for a signal to stop, then until the process may exit.
///
/// # Errors
///
/// Returns an error if signals can't be received.
pub(crate) async fn run<C: Codec>(
    shared: Rc<SharedState>,
    socket: Rc<UdpSocket>,
    closing: watch::Sender<bool>,
) -> io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    let began = clock::now();
    let options = shared.options();
    shared.stopping.set(Some(began));
    tracing::info!(in_flight = shared.in_flight.get(), "stop asked for");
    gossip::announce_stop(&shared, &socket);
    tokio::task::spawn_local(deregister::<C>(Rc::clone(&shared)));
    tokio::time::sleep(ACCEPT_TIME.min(options.grace / 2)).await;
    shared.closing.set(true);
    shared.waiting.wake_all();
    closing.send_replace(true);
    let last = began + options.grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(POLL_INTERVAL).await;
    while shared.in_flight.get() > 0 && clock::now() < last {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tracing::info!(in_flight = shared.in_flight.get(), "stopped");
    Ok(())
}

/// Removes this entry from the store, again after each restore from an older copy.
async fn deregister<C: Codec>(shared: Rc<SharedState>) {
    let mut store = shared.store::<C>();
    let host = shared.entry().host;
    loop {
        if let Err(error) = store.deregister(&host).await {
            tracing::warn!(%error, "entry not removed from the store");
        }
        shared.eras.changed().await;
    }
}
