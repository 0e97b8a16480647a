//! Detects which incarnations of endpoints have terminated.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::Fleet;
use super::row::Row;
use crate::endpoint::Endpoint;

/// How long a registration with an earlier start time than the cached one is deferred. A server
/// renews its registration every 1.2 s, which shows which of the two incarnations runs.
const EARLIER_START_TIME: Duration = Duration::from_secs(3);

impl Fleet {
    /// Drops the incarnations that must have terminated because `endpoint` runs, with all of their
    /// cached state.
    pub(super) fn end_earlier_incarnations(&mut self, endpoint: &Endpoint, now: Instant) {
        let ended = self.iter().filter(|other| endpoint.supersedes(other));
        let ended: Vec<_> = ended.map(|other| other.id.clone()).collect();
        for id in ended {
            tracing::info!(
                endpoint = id,
                by = endpoint.id,
                registered = %endpoint.registered,
                "endpoint superseded by a later life"
            );
            self.end(&id, now);
        }
    }

    /// Returns whether a registration belongs to an earlier incarnation than the cached one of the
    /// same name, which happens if a write is applied late. It is accepted nevertheless if the
    /// cached incarnation does not register again within [`EARLIER_START_TIME`], since the
    /// endpoint's clock may have been set back.
    pub(super) fn is_of_earlier_incarnation(&mut self, endpoint: &Endpoint, now: Instant) -> bool {
        let same = |row: &&mut Row| {
            let known = &row.endpoint;
            known.instance == endpoint.instance && known.born > endpoint.born
        };
        let mut rows = self.rows.iter_mut().map(|(_, row)| row);
        let Some(row) = rows.find(same) else {
            return false;
        };
        tracing::info!(
            endpoint = endpoint.id,
            known = row.endpoint.id,
            "registration of an earlier start not taken yet"
        );
        row.earlier_start = Some((endpoint.clone(), now + EARLIER_START_TIME));
        true
    }

    /// Accepts the deferred registrations that have not been contradicted in time.
    pub(crate) fn settle(&mut self, now: Instant) {
        let due = |row: &Row| {
            let (endpoint, _) = row
                .earlier_start
                .as_ref()
                .filter(|(_, until)| *until <= now)?;
            Some((row.endpoint.id.clone(), endpoint.clone()))
        };
        let due: Vec<_> = self.rows.values().filter_map(due).collect();
        for (known, endpoint) in due {
            tracing::info!(
                endpoint = endpoint.id,
                known,
                "endpoint's earlier start taken"
            );
            self.end(&known, now);
            self.insert(endpoint, now);
        }
        for endpoint in self.terminated.settle(now) {
            tracing::info!(
                endpoint = endpoint.id,
                registered = %endpoint.registered,
                "endpoint that an older copy named stays registered, and is taken"
            );
            self.insert(endpoint, now);
        }
    }

    /// Drops the unconfirmed registrations that are missing from the store's listing, since these
    /// incarnations have terminated.
    pub(crate) fn drop_unlisted(&mut self, named: impl Fn(&str) -> bool) {
        self.unnamed.retain(|_, endpoint| named(&endpoint.instance));
        self.terminated.retain(named);
    }

    /// Handles the removal of a registration from the store. The endpoint stays in use until
    /// `until` if the store may have lost the registration.
    pub(crate) fn remove(&mut self, instance: &str, until: Option<Instant>, now: Instant) {
        self.terminated.retain(|named| named != instance);
        self.unnamed
            .retain(|_, endpoint| endpoint.instance != instance);
        let incarnations = self.iter().filter(|endpoint| endpoint.instance == instance);
        let incarnations: Vec<_> = incarnations.map(|endpoint| endpoint.id.clone()).collect();
        for id in incarnations {
            let Some(row) = self.rows.get_mut(&id) else {
                continue;
            };
            if let (Some(until), false) = (until, row.endpoint.leaving) {
                row.missing_until = Some(until);
                self.next_expiry = Some(self.next_expiry.map_or(until, |known| known.min(until)));
            } else {
                self.end(&id, now);
            }
        }
    }

    pub(super) fn end(&mut self, id: &str, now: Instant) {
        if let Some(row) = self.rows.remove(id) {
            self.terminated.add(&row.endpoint, now);
            self.refresh(&row.endpoint.service);
        }
    }
}
