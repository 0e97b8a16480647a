//! Changes of endpoints that entries pass on to each other.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

use super::Knowledge;
use crate::endpoint::Endpoint;
use crate::peer::Changes;
use crate::store::{Change, Item, Kind};

impl Knowledge {
    /// Takes changes of endpoints that another entry passes on, if none is
    /// missing before them.
    pub(crate) fn take_changes(&self, changes: Changes, now: Instant) {
        let Changes {
            from,
            to,
            returned_ago,
            endpoints,
        } = changes;
        if !self.news.progress().continues(from, to) {
            self.hear_position(to, now);
            return;
        }
        let returned =
            returned_ago.and_then(|ago| now.checked_sub(Duration::from_millis(ago.into())));
        if let Some(returned) = returned {
            self.store_returned(returned);
        }
        for (name, endpoint) in endpoints {
            let item = Ok(endpoint.map(Item::Endpoint));
            self.apply(Kind::Endpoints, Change { name, item }, to, now);
        }
        self.news.know(to);
    }

    /// Returns changes of endpoints for other entries.
    pub(crate) fn passed_on(
        &self,
        from: Position,
        to: Position,
        endpoints: Vec<(String, Option<Endpoint>)>,
        now: Instant,
    ) -> Changes {
        Changes {
            from,
            to,
            returned_ago: self.returned_ago(now),
            endpoints,
        }
    }
}
