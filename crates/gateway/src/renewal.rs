//! Renews the confirmation of the configuration.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock;

use crate::knowledge::SharedState;
use crate::store::{Codec, Error, Kind, Store, WatchAnswer};
use crate::watcher::NO_WAIT;

/// Interval at which the age of the confirmation is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a call for a confirmation takes at most in most cases.
pub(crate) const CALL_TIME: Duration = Duration::from_millis(50);

/// Renews the confirmation of the configuration, by calls to the store unless
/// other entries deliver it.
pub(crate) async fn run<C: Codec>(shared: Rc<SharedState>) {
    let mut store = shared.store::<C>();
    loop {
        let possible = shared.time_to_confirmation(clock::now());
        tokio::time::sleep(possible.map_or(CHECK_INTERVAL, |left| left.min(CHECK_INTERVAL))).await;
        shared.suspend_detector.check();
        let now = clock::now();
        if !shared.needs_confirmation(now) {
            continue;
        }
        if shared.store_health.borrow_mut().wait(now).is_some() {
            continue;
        }
        match renew(&shared, &mut store).await {
            Ok(()) => shared.note_store_answer(Kind::Configuration, clock::now()),
            Err(error) => {
                shared.note_store_failure(Kind::Configuration, &error, clock::now());
            }
        }
    }
}

async fn renew<C: Codec>(shared: &SharedState, store: &mut Store<C>) -> Result<(), Error> {
    let kind = Kind::Configuration;
    let sent_at = clock::now();
    let from = shared.position.get();
    let watched = if from.era() == shared.eras.current() {
        store.watch(kind, from, NO_WAIT).await
    } else {
        Err(Error::HistoryGone)
    };
    let (changes, position) = match watched {
        Err(Error::HistoryGone) => {
            let listing = store.list(kind, false).await?;
            match listing.cut {
                Some(cut) if !listing.suffices(kind) => return Err(Error::Cut(cut)),
                _ => (listing.changes, listing.position),
            }
        }
        Ok(WatchAnswer { answer, body }) => {
            if !answer.changes.is_empty() {
                shared.configuration_cache.set(answer.position.era(), body);
            }
            (answer.changes, answer.position)
        }
        Err(error) => return Err(error),
    };
    let now = clock::now();
    for change in changes {
        shared.apply(kind, change, position, now);
    }
    shared.confirm_configuration(position, sent_at);
    Ok(())
}
