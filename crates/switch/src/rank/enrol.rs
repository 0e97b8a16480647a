//! Taking the rank's seat and its engine.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_objects::object::Version;
use cactusnotch_order::{Event as OrderEvent, Sender};

use super::{Command, Member, Open, Phase, Retirement};
use crate::engine::Action;
use crate::view::View;

/// Over how many retry times the ranks that race for the group's object spread.
const RACE_SLOTS: u32 = 16;

impl Member {
    pub(super) fn enrol(&self, out: &mut Vec<Command>) {
        out.push(Command::ReadGroup);
        self.sleep(out);
    }

    pub(super) fn group_read(
        &mut self,
        version: Version,
        view: View,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if !matches!(self.phase, Phase::Enrolling { .. }) {
            self.install(&view, now, out);
            self.found_generation(version, &view, out);
            return;
        }
        let seat = view.seat(self.rank).cloned();
        let holder = seat.as_ref().map(|seat| &seat.process);
        if let Some(seat) = seat.as_ref().filter(|seat| seat.process == self.process) {
            self.incarnation = seat.incarnation;
            self.view = view;
            self.take_engine(now, out);
        } else if self.is_former(holder) {
            let former = holder.cloned();
            let waits = self.must_wait(&view);
            self.phase = Phase::Enrolling {
                seen: true,
                former,
                written: waits.is_zero(),
            };
            if waits.is_zero() {
                let view = view.with_seat(self.rank, &self.process);
                out.push(Command::WriteGroup { version, view });
            } else {
                out.push(Command::Wake(waits));
            }
        } else {
            self.retire(Retirement::Replaced, out);
        }
    }

    /// Returns how long to leave the group's object to others: at the start
    /// of a group, ranks take their free seats in order; later, one that lost
    /// a race for the object waits by its rank before it reads again.
    fn must_wait(&self, view: &View) -> Duration {
        let own = usize::from(self.rank.0);
        let free = view.seats.iter().take(own).filter(|seat| seat.is_none());
        let before = free.count();
        match &self.phase {
            _ if before > 0 => self.options.retry * u32::try_from(before).unwrap_or(u32::MAX),
            Phase::Enrolling { written: true, .. } => {
                self.options.retry * (1 + u32::from(self.rank.0) % RACE_SLOTS)
            }
            _ => Duration::ZERO,
        }
    }

    /// Tells whether the seat is still with the process that was seen there
    /// first; if not, a newer process than this one has taken it.
    fn is_former(&self, holder: Option<&cactusnotch_base::name::Process>) -> bool {
        match &self.phase {
            Phase::Enrolling {
                seen: true, former, ..
            } => former.as_ref() == holder,
            _ => true,
        }
    }

    /// Sends the engine an order without effect, so that it refuses those of
    /// a former agent, and reads its state from the answer.
    fn take_engine(&mut self, now: Instant, out: &mut Vec<Command>) {
        let takeover = matches!(
            &self.phase,
            Phase::Enrolling {
                former: Some(_),
                ..
            }
        );
        self.phase = Phase::Recovering;
        let sender = Sender::new(self.options.orders, self.incarnation, takeover, now);
        self.sender = Some(sender);
        self.order(OrderEvent::Want(Action::Release(0.into())), now, out);
        self.order(OrderEvent::Refresh, now, out);
    }

    /// Goes on from the state of the engine, once it is known.
    ///
    /// An engine that has started a step tells of the former agent's part. One
    /// that has not is held before anything else, for a former agent may have
    /// released it.
    pub(super) fn recover(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some(engine) = &self.engine else {
            return;
        };
        if !engine.started && !engine.is_awaiting_start() {
            let hold = Action::Hold(engine.next);
            self.order(OrderEvent::Want(hold), now, out);
            return;
        }
        if let Some(current) = engine.current() {
            self.current = current;
            if let Some(switch) = engine.staged() {
                self.open = Open::Committed { id: None, switch };
            }
        }
        self.phase = Phase::Joining {
            reports: Table::new(),
            founds: false,
        };
        self.ask_reports(out);
        self.sleep(out);
        self.reconsider(now, out);
    }
}
