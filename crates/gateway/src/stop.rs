//! A planned stop, and the reload of settings.

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

/// How long requests are still taken after a stop was asked for: some callers
/// keep a list of addresses three times as long as it says. Later ones are
/// refused, since they might not end in time.
const FAREWELL: Duration = Duration::from_secs(3);
/// What is kept free at the end of the time for a stop.
const END_MARGIN: Duration = Duration::from_millis(500);
/// How often a stopping entry looks whether its last request has ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits for the signal to stop, and then until the process may end.
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
    tokio::task::spawn_local(withdraw::<C>(Rc::clone(&shared)));
    tokio::time::sleep(FAREWELL.min(options.grace / 2)).await;
    shared.closing.set(true);
    closing.send_replace(true);
    let last = began + options.grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(LOOK_EVERY).await;
    while shared.in_flight.get() > 0 && clock::now() < last {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    tracing::info!(in_flight = shared.in_flight.get(), "stopped");
    Ok(())
}

/// Takes this entry out of the store, and again if that came back from an older copy.
async fn withdraw<C: Codec>(shared: Rc<SharedState>) {
    let mut store = shared.store::<C>();
    let host = shared.entry().host;
    loop {
        if let Err(error) = store.deregister(&host).await {
            tracing::warn!(%error, "entry not withdrawn");
        }
        shared.eras.changed().await;
    }
}
