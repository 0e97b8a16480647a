//! Acquiring, renewing and losing the lease.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::{Fence, Sequence};
use cactusnotch_objects::object::Version;

use super::{Command, Coordinator, Stage, Tenure};
use crate::lease::Lease;

/// The number of renewals per lease duration.
pub(super) const RENEWALS_PER_LEASE: u32 = 3;

impl Coordinator {
    /// Renews the lease if renewal is due, or reads the lease of another holder
    /// to detect its expiry.
    pub(super) fn renew_lease(&self, now: Instant, out: &mut Vec<Command>) {
        match &self.tenure {
            Tenure::Watching { .. } => out.push(Command::ReadLease),
            Tenure::Holding {
                lease,
                version,
                renewed,
            } => {
                if now < *renewed + self.options.lease / RENEWALS_PER_LEASE {
                    return;
                }
                let lease = Lease {
                    renewals: lease.renewals + 1,
                    ..lease.clone()
                };
                let version = Some(*version);
                out.push(Command::WriteLease { version, lease });
            }
        }
    }

    pub(super) fn lease_read(
        &mut self,
        found: Option<(Version, Lease)>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        match found {
            Some((version, lease)) if lease.process == self.process => {
                self.tenure = Tenure::Holding {
                    lease,
                    version,
                    renewed: now,
                };
            }
            found => self.watch_lease(found, now, out),
        }
    }

    fn watch_lease(
        &mut self,
        found: Option<(Version, Lease)>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if matches!(self.tenure, Tenure::Holding { .. }) {
            self.stage = Stage::Idle;
            self.tenure = Tenure::Watching { seen: None };
            out.push(Command::LeaseLost);
        }
        let version = found.as_ref().map(|(version, _)| *version);
        if self.has_expired(version, now) {
            let fence = found.map_or(Fence(0), |(_, lease)| lease.fence);
            self.sequence = Sequence(0);
            let lease = Lease {
                fence: fence.next(),
                process: self.process.clone(),
                renewals: 0,
            };
            out.push(Command::WriteLease { version, lease });
        }
    }

    /// Returns whether the lease is free, or has not been renewed for its
    /// duration.
    fn has_expired(&mut self, version: Option<Version>, now: Instant) -> bool {
        let Some(version) = version else {
            return true;
        };
        let Tenure::Watching { seen } = &mut self.tenure else {
            return false;
        };
        match seen {
            Some((same, since)) if *same == version => now >= *since + self.options.lease,
            _ => {
                *seen = Some((version, now));
                false
            }
        }
    }
}
