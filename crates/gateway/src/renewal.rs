//! Keeps the proof of the configuration fresh.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock;

use crate::knowledge::Knowledge;
use crate::store::{Codec, Error, Kind, Store, Watched};
use crate::watcher::NO_WAIT;

/// How often the age of the proof is looked at.
const PROOF_LOOK: Duration = Duration::from_millis(150);

/// Keeps the proof of the configuration fresh, by own calls or by those of
/// other entries.
pub(crate) async fn run<C: Codec>(knowledge: Rc<Knowledge>) {
    let mut store = knowledge.store::<C>();
    loop {
        tokio::time::sleep(PROOF_LOOK).await;
        knowledge.wake.check();
        let now = clock::now();
        if !knowledge.needs_proof(now) {
            continue;
        }
        if knowledge.link.borrow_mut().wait(now).is_some() {
            continue;
        }
        match renew(&knowledge, &mut store).await {
            Ok(()) => knowledge.store_answers(Kind::Configuration, clock::now()),
            Err(error) => {
                knowledge.store_fails(Kind::Configuration, &error, clock::now());
            }
        }
    }
}

async fn renew<C: Codec>(knowledge: &Knowledge, store: &mut Store<C>) -> Result<(), Error> {
    let kind = Kind::Configuration;
    let asked = clock::now();
    let from = knowledge.position.get();
    let watched = if from.era() == knowledge.eras.current() {
        store.watch(kind, from, NO_WAIT).await
    } else {
        Err(Error::HistoryGone)
    };
    let answer = match watched {
        Err(Error::HistoryGone) => store.list(kind, false).await?,
        Ok(Watched { answer, body }) => {
            if !answer.changes.is_empty() {
                knowledge.handout.set(answer.position.era(), body);
            }
            answer
        }
        Err(error) => return Err(error),
    };
    let now = clock::now();
    for change in answer.changes {
        knowledge.apply(kind, change, answer.position, now);
    }
    knowledge.prove(answer.position, asked);
    Ok(())
}
