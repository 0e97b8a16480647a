//! Reconciliation of the engine's state with the decided state.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Step;
use cactusnotch_order::{Answer, Command as OrderCommand, Event as OrderEvent, Sender, Settlement};

use super::{Command, Member, Open, Phase, Retirement};
use crate::engine::{Action, Expert, State};
use crate::map::{Map, Switch};
use crate::message::{Body, Peer, Reason};

impl Member {
    /// Passes an event to the sender of orders and carries out its commands.
    pub(super) fn drive_sender(
        &mut self,
        event: OrderEvent<Action>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let Some(sender) = &mut self.sender else {
            return;
        };
        for command in sender.step(event, self.engine.as_ref(), now) {
            match command {
                OrderCommand::Send(order) => out.push(Command::Order(order)),
                OrderCommand::Read(fence) => out.push(Command::ReadEngine(fence)),
                OrderCommand::Wake(pause) => out.push(Command::Wake(pause)),
                OrderCommand::Settled(action, how) => self.handle_settled(action, how, now, out),
            }
        }
    }

    pub(super) fn wake_sender(&mut self, now: Instant, out: &mut Vec<Command>) {
        let idle = self.sender.as_ref().is_none_or(Sender::is_idle);
        let event = if idle {
            OrderEvent::Refresh
        } else {
            OrderEvent::Wake
        };
        self.drive_sender(event, now, out);
    }

    fn handle_settled(
        &mut self,
        action: Action,
        how: Settlement,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if how == Settlement::Superseded {
            self.retire(Retirement::Replaced, out);
            return;
        }
        let (Action::Hold(step), Open::Holding(proposal)) = (action, &self.open) else {
            return;
        };
        let (id, hold) = (proposal.id, proposal.hold_step());
        match how {
            _ if step != hold => {}
            Settlement::Done => self.handle_held(now, out),
            _ => self.withdraw(id, Reason::Late, now, out),
        }
    }

    pub(super) fn handle_engine(
        &mut self,
        answer: Answer<State>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let awaited = self
            .sender
            .as_ref()
            .is_some_and(|sender| sender.awaits(answer.fence));
        if !awaited {
            return;
        }
        let incarnation = self.engine.as_ref().map(|engine| engine.life);
        if incarnation.is_some_and(|incarnation| incarnation != answer.state.life) {
            self.retire(Retirement::EngineLost, out);
            return;
        }
        self.engine = Some(answer.state);
        let event = OrderEvent::Answer {
            fence: answer.fence,
            reply: answer.reply,
        };
        self.drive_sender(event, now, out);
        match self.phase {
            Phase::Recovering => self.recover(now, out),
            Phase::Active => self.reconcile(now, out),
            _ => {}
        }
    }

    pub(super) fn experts_read(
        &mut self,
        map: Map,
        experts: Vec<Expert>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        self.experts.insert(map, experts);
        self.reconcile(now, out);
    }

    /// Orders the next action that brings the engine to the decided state.
    ///
    /// Steps are released only when the engine's plan has every decided map: a
    /// rank that starts the step before a switch thereby acknowledges to all
    /// others that it will use the new map.
    pub(super) fn reconcile(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.phase != Phase::Active {
            return;
        }
        self.record_in_force(now, out);
        let Some(engine) = self.engine.clone() else {
            return;
        };
        if self.reconcile_plan(&engine, now, out) {
            self.reconcile_holds(&engine, now, out);
            self.load_prepared(&engine, now, out);
        }
    }

    /// Records the committed map as in force once the engine has started a step
    /// with it.
    fn record_in_force(&mut self, now: Instant, out: &mut Vec<Command>) {
        let current = self.engine.as_ref().and_then(State::current);
        if let Open::Committed { id, switch } = self.open
            && current == Some(switch)
        {
            self.previous = Some(self.current);
            self.current = switch;
            self.open = Open::Nothing;
            out.push(Command::InForce(switch));
            if let Some(id) = id {
                self.send(Peer::Coordinator(id.fence), Body::Applied { id }, out);
            }
            self.unload_unneeded(now, out);
        }
    }

    /// Unloads the experts that the map in force does not need.
    fn unload_unneeded(&mut self, now: Instant, out: &mut Vec<Command>) {
        let map = self.current.map;
        self.experts.retain(|other, _| *other >= map);
        let (Some(needed), Some(engine)) = (self.experts.get(&map), &self.engine) else {
            return;
        };
        let unneeded = engine.experts.iter().copied();
        let unneeded: Vec<Expert> = unneeded.filter(|expert| !needed.contains(expert)).collect();
        for expert in unneeded {
            self.drive_sender(OrderEvent::Want(Action::Unload(expert)), now, out);
        }
    }

    /// Returns the maps that are used from step `next` on.
    fn decided_plan(&self, next: Step) -> Vec<Switch> {
        let committed = match &self.open {
            Open::Committed { switch, .. } => Some(*switch),
            _ => None,
        };
        let decided = [self.previous, Some(self.current), committed];
        used_from(next, decided.into_iter().flatten().collect())
    }

    /// Returns whether the engine's plan equals the decided plan, and orders the
    /// first map in which it differs if not.
    fn reconcile_plan(&mut self, engine: &State, now: Instant, out: &mut Vec<Command>) -> bool {
        let wanted = self.decided_plan(engine.next);
        let set = used_from(engine.next, engine.plan.clone());
        let same = wanted.iter().zip(&set).take_while(|(a, b)| a == b);
        let same = same.count();
        if same == wanted.len() && same == set.len() {
            return true;
        }
        let next = wanted.get(same).or(wanted.last()).copied();
        if let Some(next) = next
            && self.ensure_loaded(next.map, engine, now, out)
        {
            self.drive_sender(OrderEvent::Want(Action::Use(next)), now, out);
        }
        false
    }

    /// Returns whether the experts of a map are loaded, and orders the missing
    /// ones if not.
    fn ensure_loaded(
        &mut self,
        map: Map,
        engine: &State,
        now: Instant,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(experts) = self.experts.get(&map) else {
            out.push(Command::ReadMap(map));
            self.schedule_wake(out);
            return false;
        };
        let missing =
            |expert: &&Expert| !engine.experts.contains(expert) || self.has_pending_order(**expert);
        let missing: Vec<Expert> = experts.iter().filter(missing).copied().collect();
        for expert in &missing {
            self.drive_sender(OrderEvent::Want(Action::Load(*expert)), now, out);
        }
        missing.is_empty()
    }

    /// Returns whether an order to load or unload the expert is pending. The
    /// engine's state then does not show whether the expert stays loaded.
    fn has_pending_order(&self, expert: Expert) -> bool {
        let mut wants = self.sender.iter().flat_map(Sender::pending);
        wants.any(
            |action| matches!(action, Action::Load(own) | Action::Unload(own) if *own == expert),
        )
    }

    /// Unloads the experts that neither the map in force nor `map` needs if any
    /// expert of `map` is missing, because the engine may have no memory for it
    /// otherwise.
    fn free_memory(&mut self, map: Map, engine: &State, now: Instant, out: &mut Vec<Command>) {
        let Some(wanted) = self.experts.get(&map) else {
            return;
        };
        if wanted.iter().all(|expert| engine.experts.contains(expert)) {
            return;
        }
        let Some(used) = self.experts.get(&self.current.map) else {
            out.push(Command::ReadMap(self.current.map));
            return;
        };
        let is_needed = |expert: &Expert| wanted.contains(expert) || used.contains(expert);
        let loaded = engine.experts.iter().copied();
        let unused: Vec<Expert> = loaded.filter(|expert| !is_needed(expert)).collect();
        for expert in unused {
            self.drive_sender(OrderEvent::Want(Action::Unload(expert)), now, out);
        }
    }

    fn load_prepared(&mut self, engine: &State, now: Instant, out: &mut Vec<Command>) {
        let Some((id, map)) = self
            .prepared
            .as_ref()
            .map(|prepared| (prepared.id, prepared.map))
        else {
            return;
        };
        self.free_memory(map, engine, now, out);
        let loaded = self.ensure_loaded(map, engine, now, out);
        if let Some(prepared) = &mut self.prepared
            && loaded
            && !prepared.ready
        {
            prepared.ready = true;
            self.send_ready(id, out);
        }
    }

    /// Orders a hold of the open proposal's step and releases all others.
    fn reconcile_holds(&mut self, engine: &State, now: Instant, out: &mut Vec<Command>) {
        let hold = match &self.open {
            Open::Holding(proposal) | Open::Promised { proposal, .. } => Some(proposal.hold_step()),
            _ => None,
        };
        for step in self
            .held_steps(engine)
            .into_iter()
            .filter(|step| Some(*step) != hold)
        {
            self.drive_sender(OrderEvent::Want(Action::Release(step)), now, out);
        }
        if let (Some(step), Open::Holding(_)) = (hold, &self.open) {
            self.drive_sender(OrderEvent::Want(Action::Hold(step)), now, out);
        }
    }

    /// Returns the steps that are held, or may become held by a pending order.
    fn held_steps(&self, engine: &State) -> Vec<Step> {
        let mut steps = engine.holds.clone();
        let wants = self.sender.iter().flat_map(Sender::pending);
        steps.extend(wants.filter_map(|action| match action {
            Action::Hold(step) => Some(*step),
            _ => None,
        }));
        steps
    }
}

/// Returns the part of a plan that is used from step `next` on.
fn used_from(next: Step, mut plan: Vec<Switch>) -> Vec<Switch> {
    let over = plan.iter().skip(1).filter(|later| later.from <= next);
    let over = over.count();
    plan.drain(..over);
    plan
}
