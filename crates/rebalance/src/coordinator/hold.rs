//! How the group is held, and let go again if a rank is out of reach.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::{Coordinator, Event, Row, Stage};
use crate::codec::Order;
use crate::message::Phase;
use crate::state::Maps;

/// How long a rank that was asked to hold the group is waited for before another one is.
/// A message and an order to another host of the region take one to five milliseconds.
const ASK_TIME: Duration = Duration::from_millis(60);
/// How often the rank that has held the group is told so until it says that it is there.
const TELL_EVERY: Duration = Duration::from_millis(30);

impl Coordinator {
    /// Returns which rank is to hold the group at this rank's endpoint, and before which
    /// pass, if that is due. All ranks have loaded the map then.
    pub fn ask(&mut self, own: &Maps, now: Instant) -> Option<(u16, u64)> {
        let Stage::Hold { asked } = self.stage else {
            return None;
        };
        let others = u64::from(self.place.size).checked_sub(1);
        let others = others.filter(|&others| others > 0)?;
        let lately = |at| now.saturating_duration_since(at) < ASK_TIME;
        if !self.lacks_hold(own) || asked.is_some_and(lately) {
            return None;
        }
        self.stage = Stage::Hold { asked: Some(now) };
        if asked.is_none() {
            self.holders.clear();
        } else {
            // Another one, since the one that was asked may be out of reach.
            self.holder = self.holder.wrapping_add(1);
        }
        let rank = 1 + u16::try_from(u64::from(self.holder) % others).unwrap_or(0);
        self.holders.push(rank);
        Some((rank, self.hold_at(own, now)))
    }

    /// Tells whether the group is still to be held for the round. Once this rank is
    /// armed another has completed it.
    pub(super) const fn lacks_hold(&self, own: &Maps) -> bool {
        own.held.is_none() && own.armed.is_none() && own.current < self.round.version
    }

    /// Returns the pass before which the group is held.
    pub(super) fn hold_at(&self, own: &Maps, now: Instant) -> u64 {
        let after = self.let_go.map_or(0, |step| step + 1);
        (own.step + self.arming.passes_ahead(now)).max(after)
    }

    /// Returns the ranks that have to be told that the group is held, if that is due: one
    /// of their agents has given the order, and they have to say that they are still there.
    pub fn calls(&mut self, now: Instant) -> &[u16] {
        let Stage::Meet { step, since, told } = self.stage else {
            return &[];
        };
        let lately = |at| now.saturating_duration_since(at) < TELL_EVERY;
        if told.is_some_and(lately) {
            return &[];
        }
        self.stage = Stage::Meet {
            step,
            since,
            told: Some(now),
        };
        &self.holders
    }

    /// Goes on once the group is held: to arming if the rank that has held it is there, or
    /// by giving the round up if it isn't.
    ///
    /// What rank 0's endpoint has decides for all, whoever acts: no other rank is armed
    /// before rank 0 is, and the round is given up only by having rank 0's endpoint load
    /// another map, after which it can't be armed with this one.
    pub(super) fn meet(&mut self, own: &Maps, now: Instant) -> Option<Event> {
        let version = self.round.version;
        match self.stage {
            Stage::Meet { .. } | Stage::Undo | Stage::Lead if own.armed == Some(version) => {
                self.stage = own.held.map_or(Stage::Switch, |_| Stage::Arm);
                if let Some(step) = own.held {
                    self.round.phase = Phase::Arm { step };
                }
                None
            }
            Stage::Meet { step, .. } if self.is_there(step) => {
                self.stage = Stage::Lead;
                None
            }
            Stage::Meet { step, since, .. } => {
                let late = now.saturating_duration_since(since) > self.arming.meeting();
                late.then(|| {
                    self.arming.give_up();
                    self.holder = self.holder.wrapping_add(1);
                    self.let_go_at = Some(now);
                    self.stage = Stage::Undo;
                    Event::LetGo(step)
                })
            }
            Stage::Undo | Stage::Lead if own.prepared != Some(version) || own.held.is_none() => {
                self.stage = Stage::Go { armed: false };
                self.round.version = undone(version);
                self.round.phase = Phase::Rest;
                None
            }
            _ => None,
        }
    }

    /// Tells whether all ranks have been heard since the group was let go because one was
    /// out of reach. Until then a round would be loaded for nothing.
    pub(super) fn all_back(&self) -> bool {
        let heard = |row: &Row| self.let_go_at.is_none_or(|at| row.at > at);
        self.rows.iter().flatten().all(heard)
    }

    /// Tells whether the ranks that were asked to hold the group before the pass have said,
    /// once the hold was seen, that they are there. A host that stands still right after
    /// its order could not be armed.
    fn is_there(&self, step: u64) -> bool {
        let there = |row: &Row| row.standing.met == Some(step);
        let row = |&rank: &u16| self.rows.get(usize::from(rank))?.as_ref();
        let mut asked = self.holders.iter();
        asked.all(|rank| row(rank).is_some_and(there))
    }

    /// Returns the order that settles at this rank's endpoint whether the round goes on:
    /// to be armed, or to load the map in force anew in place of the round's.
    pub(super) fn settle(&self, own: &Maps, step: u64) -> Option<Order> {
        let version = self.round.version;
        if own.armed.is_some() {
            return None;
        }
        if self.stage == Stage::Lead {
            return Some(Order::Arm { version, step });
        }
        let (_, map) = self.map.as_ref()?;
        Some(Order::Prepare {
            version: undone(version),
            map: map.clone(),
        })
    }
}

/// Returns the version under which rank 0 loads the map in force anew, so that it can't be
/// armed with `version`. No other map gets it.
const fn undone(version: u64) -> u64 {
    version + 1
}
