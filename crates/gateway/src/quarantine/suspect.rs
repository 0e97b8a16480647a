//! A content or a part of prompts during whose requests endpoints have crashed.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::{Accused, Crash};
use crate::content::Fingerprint;

/// The crashes after which a request is quarantined. One crash may have any cause, and one to
/// eleven unrelated requests had just begun on a server when it crashed. A second run that began
/// after the first crash and crashes its endpoint as well distinguishes the cause. A third would
/// cost another group of ranks for some five seconds.
pub const CRASH_THRESHOLD: usize = 2;
/// The crashes after which a part of prompts is quarantined. Unrelated requests that have just
/// begun often share a part, which two crashes may meet by chance.
pub const PART_CRASH_THRESHOLD: usize = 3;
/// The incidents of more than one crash after which a part of prompts is quarantined.
const MULTIPLE_CRASH_THRESHOLD: usize = 2;
/// The time between two crashes from which on they have no common cause, such as the loss of a
/// rack, even if their requests were sent at the same time.
const COMMON_CAUSE_TIME: Duration = Duration::from_secs(1);
/// The most crashes that are remembered for one suspect.
const CRASHES_MAX: usize = 64;

/// What all accused requests with a suspect have in common.
#[derive(Debug)]
struct Common {
    /// The content, if all are attempts of one request.
    content: Option<Fingerprint>,
    parts: Vec<Fingerprint>,
}

/// What a suspect is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Another entry or the store reported its quarantine; it may be either.
    Reported,
    Content,
    Part,
}

/// A content or a part of prompts during whose requests endpoints have crashed.
#[derive(Debug)]
pub(super) struct Suspect {
    kind: Kind,
    /// The crashes, oldest first.
    crashes: Vec<Crash>,
    /// `None` if nothing is known of its requests.
    common: Option<Common>,
    pub(super) quarantined_until: Option<Instant>,
    /// Since when the suspect is a quarantined part whose quarantine later reports may still
    /// revoke.
    pub(super) provisional_since: Option<Instant>,
    /// Whether fewer parts are companions than were told to others and the store.
    pub(super) has_narrowed: bool,
    /// Whether the store is known to hold a record of the quarantine.
    pub(super) recorded: bool,
    /// When the suspect is forgotten.
    pub(super) until: Instant,
}

impl Suspect {
    pub(super) const fn new(until: Instant) -> Self {
        Self {
            kind: Kind::Reported,
            crashes: Vec::new(),
            common: None,
            quarantined_until: None,
            provisional_since: None,
            has_narrowed: false,
            recorded: false,
            until,
        }
    }

    pub(super) fn quarantine(&mut self, until: Instant) {
        self.quarantined_until = Some(until);
        self.until = until;
    }

    /// Ends the quarantine and keeps the crashes, until `until`.
    pub(super) fn release(&mut self, until: Instant) {
        (self.quarantined_until, self.provisional_since) = (None, None);
        self.until = until;
    }

    pub(super) const fn is_held(&self) -> bool {
        self.quarantined_until.is_some()
    }

    /// Returns whether the suspect is a part, judged by crashes that are known here.
    pub(super) fn is_judged_part(&self) -> bool {
        self.kind == Kind::Part
    }

    /// Returns whether the suspect is a content, judged by crashes that are known here.
    pub(super) fn is_judged_content(&self) -> bool {
        self.kind == Kind::Content
    }

    /// Records the parts that a request must have as well to be barred, as reported by another
    /// entry or the store. A report may be older than a crash that has shown that fewer are
    /// needed.
    pub(super) fn record_companions(&mut self, parts: &[Fingerprint]) {
        match &mut self.common {
            Some(common) if self.kind == Kind::Reported => {
                common.parts.retain(|part| parts.contains(part));
            }
            None if self.kind == Kind::Reported => {
                self.common = Some(Common {
                    content: None,
                    parts: parts.to_vec(),
                });
            }
            Some(_) | None => {}
        }
    }

    /// Returns the parts that a request must have as well to be barred.
    pub(super) fn companions(&self) -> &[Fingerprint] {
        match &self.common {
            Some(common) if self.kind != Kind::Content => &common.parts,
            Some(_) | None => &[],
        }
    }

    /// Returns whether the crash of this endpoint is recorded.
    pub(super) fn has_crash(&self, endpoint: &str) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Records a crash that accuses a request with the suspect; the oldest one is dropped if
    /// there are too many.
    pub(super) fn record(&mut self, accused: &Accused, crash: &Crash, is_part: bool) {
        let is_reported = self.kind == Kind::Reported && self.is_held();
        let companions = self.companions().len();
        match &mut self.common {
            Some(common) => common.intersect(accused),
            // A reported quarantine is not limited by what one request has.
            None if is_reported => {}
            None => self.common = Some(Common::of(accused)),
        }
        if !is_reported {
            self.kind = if is_part { Kind::Part } else { Kind::Content };
        }
        self.has_narrowed |= self.is_held() && self.companions().len() < companions;
        if self.has_crash(&crash.endpoint) {
            return;
        }
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.remove(0);
        }
        self.crashes.push(crash.clone());
        self.crashes.sort_by_key(|crash| crash.at);
    }

    /// Records that a part is not the cause of crashes.
    pub(super) fn exclude(&mut self, part: Fingerprint) {
        if let Some(common) = &mut self.common {
            common.parts.retain(|&known| known != part);
        }
    }

    /// Returns whether all accused requests had this part.
    pub(super) fn always_with(&self, part: Fingerprint) -> bool {
        let common = self.common.as_ref();
        common.is_some_and(|common| common.parts.contains(&part))
    }

    /// Returns whether a request has all that the accused requests had in common.
    pub(super) fn matches(&self, request: &Accused) -> bool {
        self.common.as_ref().is_none_or(|common| {
            let is_content = common.content.is_none_or(|own| own == request.content);
            is_content && common.parts.iter().all(|part| request.parts.contains(part))
        })
    }

    /// Returns whether the accused requests were of several contents.
    pub(super) fn is_shared(&self) -> bool {
        self.common
            .as_ref()
            .is_some_and(|common| common.content.is_none())
    }

    /// Returns whether the suspect, a content, has caused enough crashes to be quarantined.
    pub(super) fn is_guilty_content(&self) -> bool {
        incidents(self.crashes.iter(), None).len() >= CRASH_THRESHOLD
    }
}

/// Returns whether there are enough crashes to quarantine a part of prompts. Requests that waited
/// for the same groups of ranks are sent together and crash endpoints together. Several crashes
/// in each of two incidents count like three incidents, unless the part was answered lately:
/// such a part meets the loss of a rack by chance.
pub(super) fn are_enough_for_part<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    was_answered: bool,
) -> bool {
    let incidents = incidents(crashes, Some(COMMON_CAUSE_TIME));
    let multiple = incidents.iter().filter(|crashes| **crashes > 1).count();
    incidents.len() >= PART_CRASH_THRESHOLD || !was_answered && multiple >= MULTIPLE_CRASH_THRESHOLD
}

/// Returns the number of crashes in each incident, oldest first. The crashes of one incident may
/// have one common cause: their runs began before the first of them, and they came no later than
/// it by `apart`. The loss of a rack, for example, terminates several endpoints at which callers
/// wait for the same request.
fn incidents<'a>(crashes: impl Iterator<Item = &'a Crash>, apart: Option<Duration>) -> Vec<usize> {
    let mut incidents = Vec::new();
    let mut first: Option<Instant> = None;
    for crash in crashes {
        let is_new = first.is_none_or(|first| {
            let later = crash.at.saturating_duration_since(first);
            crash.sent >= first || apart.is_some_and(|apart| later >= apart)
        });
        if is_new {
            first = Some(crash.at);
            incidents.push(0);
        }
        if let Some(last) = incidents.last_mut() {
            *last += 1;
        }
    }
    incidents
}

impl Common {
    fn of(accused: &Accused) -> Self {
        Self {
            content: Some(accused.content),
            parts: accused.parts.clone(),
        }
    }

    fn intersect(&mut self, accused: &Accused) {
        self.content = self.content.filter(|&own| own == accused.content);
        self.parts.retain(|part| accused.parts.contains(part));
    }
}
