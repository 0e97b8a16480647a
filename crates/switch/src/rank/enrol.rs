//! Taking the rank's seat and taking over its engine.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_objects::object::Version;
use cactusnotch_order::{Event as OrderEvent, Sender};

use super::{Command, Member, Open, Phase, Retirement};
use crate::engine::Action;
use crate::view::View;

/// The number of retry intervals over which ranks spread their reads after a
/// conflicting write of the group's object.
const RACE_SLOTS: u32 = 16;

impl Member {
    pub(super) fn enrol(&self, out: &mut Vec<Command>) {
        out.push(Command::ReadGroup);
        self.schedule_wake(out);
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
            self.start_generation(version, &view, out);
            return;
        }
        let seat = view.seat(self.rank).cloned();
        let holder = seat.as_ref().map(|seat| &seat.process);
        if let Some(seat) = seat.as_ref().filter(|seat| seat.process == self.process) {
            self.incarnation = seat.incarnation;
            self.view = view;
            self.take_over_engine(now, out);
        } else if self.is_former_holder(holder) {
            let former = holder.cloned();
            let delay = self.write_delay(&view);
            self.phase = Phase::Enrolling {
                seen: true,
                former,
                written: delay.is_zero(),
            };
            if delay.is_zero() {
                let view = view.with_seat(self.rank, &self.process);
                out.push(Command::WriteGroup { version, view });
            } else {
                out.push(Command::Wake(delay));
            }
        } else {
            self.retire(Retirement::Replaced, out);
        }
    }

    /// Returns how long to wait before writing the group's object. At the start
    /// of a group, ranks take their free seats in order. Later, a rank whose
    /// write conflicted with another waits by its number before it reads again.
    fn write_delay(&self, view: &View) -> Duration {
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

    /// Returns whether the seat is still held by the process that was first read
    /// there. If not, a newer process than this one has taken it.
    fn is_former_holder(&self, holder: Option<&cactusnotch_base::name::Process>) -> bool {
        match &self.phase {
            Phase::Enrolling {
                seen: true, former, ..
            } => former.as_ref() == holder,
            _ => true,
        }
    }

    /// Sends the engine an order without effect, after which it refuses orders
    /// of a former agent, and reads its state from the answer.
    fn take_over_engine(&mut self, now: Instant, out: &mut Vec<Command>) {
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
        self.drive_sender(OrderEvent::Want(Action::Release(0.into())), now, out);
        self.drive_sender(OrderEvent::Refresh, now, out);
    }

    /// Continues from the state of the engine, once it has been read.
    ///
    /// From an engine that has started a step, the former agent's decided
    /// switches are recovered. An engine that has not is held first, because a
    /// former agent may have released it.
    pub(super) fn recover(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some(engine) = &self.engine else {
            return;
        };
        if !engine.started && !engine.is_awaiting_start() {
            let hold = Action::Hold(engine.next);
            self.drive_sender(OrderEvent::Want(hold), now, out);
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
            starts_generation: false,
        };
        self.request_reports(out);
        self.schedule_wake(out);
        self.finish_joining(now, out);
    }
}
