//! Claims of callers' keys, recorded in the platform.

use cactusnotch_claim::{Answer, Claim};
use cactusnotch_platform::http::Client;
use cactusnotch_platform::object::{Condition, Path};
use cactusnotch_platform::store::{Error, Store};

use crate::Options;

/// The kind of the objects that hold claims.
const KIND: &str = "claim";

/// Claims of callers' keys, recorded in the platform.
#[derive(Debug, Clone)]
pub(crate) struct Claims {
    platform: Client,
}

impl Claims {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            platform: Client::new(&options.node.platform),
        }
    }

    /// Claims a key and returns what became of it.
    pub(crate) async fn claim(&self, claim: Claim) -> Answer {
        let platform = self.platform.clone();
        tokio::task::spawn_blocking(move || record(&platform, &claim))
            .await
            .unwrap_or(Answer::Unavailable)
    }
}

fn record(platform: &Client, claim: &Claim) -> Answer {
    let path = Path::new(KIND, format!("{:032x}", claim.identity.print()));
    let Ok(value) = serde_json::to_value(claim) else {
        return Answer::Unavailable;
    };
    match platform.put(&path, &value, Condition::Absent) {
        Ok(_) => Answer::Granted,
        Err(Error::Conflict { current, .. }) => {
            current.map_or(Answer::Unavailable, |object| judge(claim, object.value))
        }
        // The write may have taken effect: the object says whose claim stands.
        Err(Error::Unanswered { .. }) => match platform.get(&path) {
            Ok(Some(object)) => judge(claim, object.value),
            _ => Answer::Unavailable,
        },
        Err(Error::Refused { .. }) => Answer::Unavailable,
    }
}

fn judge(claim: &Claim, stored: serde_json::Value) -> Answer {
    let Ok(stored) = serde_json::from_value::<Claim>(stored) else {
        return Answer::Unavailable;
    };
    if stored.holder.attempt == claim.holder.attempt {
        Answer::Granted
    } else if stored.digest != claim.digest {
        Answer::Mismatch
    } else {
        Answer::Held(stored.holder)
    }
}
