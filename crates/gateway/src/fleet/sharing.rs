//! Which endpoints of large services this entry uses.

use std::hash::{DefaultHasher, Hash, Hasher};

use cactusnotch_base::Table;

use super::Fleet;
use super::row::Row;
use crate::endpoint::Endpoint;
use crate::subset;

impl Fleet {
    /// Chooses the subsets of large services' endpoints that the entry `me` of `entries`
    /// uses, if entries or endpoints have changed.
    pub(crate) fn choose_subsets(&mut self, me: &str, entries: &[&str]) {
        for service in self.ranked.clone() {
            self.choose_subset(&service, me, entries);
        }
    }

    fn choose_subset(&mut self, service: &str, me: &str, entries: &[&str]) {
        let lasting = |e: &&Endpoint| e.service == service && self.takes_new_work(e);
        let endpoints: Vec<_> = self.iter().filter(lasting).map(|e| e.id.as_str()).collect();
        let fingerprint = fingerprint(entries, &endpoints);
        if self.subsets.get(service) == Some(&fingerprint) {
            return;
        }
        let used = subset::used(me, entries, &endpoints).map(|used| {
            let id = |at: usize| endpoints[at].to_owned();
            used.into_iter().map(id).collect::<Vec<_>>()
        });
        if used.is_none() && !self.subsets.contains(service) {
            return;
        }
        tracing::info!(
            service,
            used = used.as_ref().map(Vec::len),
            endpoints = endpoints.len(),
            entries = entries.len(),
            "endpoints to be used chosen"
        );
        match &used {
            Some(_) => drop(self.subsets.insert(service.to_owned(), fingerprint)),
            None => drop(self.subsets.remove(service)),
        }
        let rows = self.rows.iter_mut().map(|(_, row)| row);
        for row in rows.filter(|row| row.endpoint.service == service) {
            // The ids are sorted because the table is.
            let chosen = |used: &Vec<String>| used.binary_search(&row.endpoint.id).is_ok();
            row.used = used.as_ref().is_none_or(chosen);
        }
        self.refresh(service);
    }

    /// Returns how many of `entries` use each endpoint of a service.
    pub(crate) fn sharers(&self, service: &str, entries: u32) -> u32 {
        if !self.subsets.contains(service) {
            return entries;
        }
        let own = |endpoint: &&Endpoint| endpoint.service == service;
        subset::sharers(entries, self.iter().filter(own).count())
    }

    /// Returns the endpoints to which this entry sends requests.
    pub(crate) fn used(&self) -> impl Iterator<Item = &Endpoint> {
        used(&self.rows)
    }
}

/// Returns the endpoints to which this entry sends requests.
pub(super) fn used(rows: &Table<String, Row>) -> impl Iterator<Item = &Endpoint> {
    rows.values()
        .filter(|row| row.is_used())
        .map(|row| &row.endpoint)
}

/// Returns a hash that changes if the entries or endpoints change.
fn fingerprint(entries: &[&str], endpoints: &[&str]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entries, endpoints).hash(&mut hasher);
    hasher.finish()
}
