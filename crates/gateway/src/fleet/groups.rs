//! The groups of ranks of services under overload control, and the choice among them.
//!
//! An entry may hold a number of requests at each group, which it computes from each round of
//! load reports. A request goes to a group drawn with a chance in proportion to the number of
//! requests that the entry may still start there: that number follows the group's free
//! capacity, and counts the requests which started or ended since the reports.

mod choice;
mod group;
mod modelled;
mod service;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::{Table, name};
use cactusnotch_overload::Options;
use rand::Rng;

pub(crate) use self::choice::{Chosen, Shortage, Snapshot};
use self::group::Group;
use self::service::Service;
use super::Fleet;
use crate::configuration::Configuration;
use crate::peer::Load;

/// The groups of the services under overload control.
#[derive(Debug, Default)]
pub(super) struct Groups {
    services: Table<String, Service>,
}

impl Fleet {
    /// Applies the operators' configuration and settings of overload control.
    pub(crate) fn configure_groups(&mut self, configuration: &Configuration, options: &Options) {
        let services = &mut self.groups.services;
        let controlled = |name: &str| configuration.controls_overload(name, options.mode);
        for (_, service) in services.iter().filter(|(name, _)| !controlled(name)) {
            service.clear_metrics();
        }
        services.retain(|name, _| controlled(name));
        for service in configuration.services() {
            let gap = configuration.max_event_gap(&service.name);
            let Some((engine, gap)) = service.engine.as_ref().zip(gap) else {
                continue;
            };
            if controlled(&service.name) {
                services
                    .get_or_insert_with(service.name.clone(), Service::default)
                    .configure(engine, gap, options);
            }
        }
    }

    /// Applies the group and the limit in the load report of an endpoint.
    pub(super) fn apply_group(&mut self, id: &str, load: &Load, now: Instant) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let service = row.endpoint.service.as_str();
        let (Some(groups), Some(router)) = (
            self.groups.services.get_mut(service),
            self.routers.get_mut(service),
        ) else {
            return;
        };
        let name = name::Endpoint::new(id);
        row.others = load
            .requests
            .saturating_sub(router.own_load(&name).requests);
        let group = groups.apply(service, load, now);
        if row.group != group {
            row.group = group;
            router.set_group(&name, group);
        }
    }

    /// Starts a round at the groups of all services where one is due; `entries` is the number
    /// of entries.
    pub(crate) fn renew_groups(&mut self, entries: u32, now: Instant, rng: &mut impl Rng) {
        let due = self.groups.services.iter();
        let due: Vec<_> = due
            .filter(|(_, service)| service.is_due(now))
            .map(|(name, _)| (name.clone(), self.sharers(name, entries)))
            .collect();
        for (name, sharers) in due {
            self.tally_groups(&name, now);
            if let Some(service) = self.groups.services.get_mut(&name) {
                service.renew(&name, sharers, now, rng);
            }
        }
    }

    /// Counts the requests and slots at the endpoints of each group of a service.
    fn tally_groups(&mut self, name: &str, now: Instant) {
        let (Some(service), Some(router)) =
            (self.groups.services.get_mut(name), self.routers.get(name))
        else {
            return;
        };
        service.clear_tallies();
        let gap = Some(service.max_event_gap());
        for (member, own) in router.own_loads() {
            let Some(row) = self.rows.get(member.name.as_str()) else {
                continue;
            };
            let Some(group) = service.get_mut(name, row.group, now) else {
                continue;
            };
            let endpoint = &row.endpoint;
            let takes_work = !endpoint.leaving && !self.evacuated.contains(&endpoint.data_centre);
            group.tally.own += own.requests;
            if !takes_work || !row.is_open() {
                continue;
            }
            if let Some(age) = row.report_age(now) {
                let avoided = row.should_be_avoided(gap, now);
                group
                    .tally
                    .add_reported(endpoint.slots, row.others, age, avoided);
            } else {
                group.tally.add_silent(endpoint.slots);
            }
        }
    }
}
