//! Bringing the engine to what the agreement says.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Step;
use cactusnotch_order::{Answer, Command as OrderCommand, Event as OrderEvent, Sender, Settlement};

use super::{Command, Member, Open, Phase, Retirement};
use crate::engine::{Action, Expert, State};
use crate::map::{Map, Switch};
use crate::message::{Body, Peer, Reason};

impl Member {
    /// Hands an event to the sender of orders and acts on what it settles.
    pub(super) fn order(
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
                OrderCommand::Settled(wish, how) => self.settled(wish, how, now, out),
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
        self.order(event, now, out);
    }

    fn settled(&mut self, wish: Action, how: Settlement, now: Instant, out: &mut Vec<Command>) {
        if how == Settlement::Superseded {
            self.retire(Retirement::Replaced, out);
            return;
        }
        let (Action::Hold(step), Open::Holding(proposal)) = (wish, &self.open) else {
            return;
        };
        let (id, hold) = (proposal.id, proposal.hold_step());
        match how {
            _ if step != hold => {}
            Settlement::Done => self.held(now, out),
            _ => self.withdraw(id, Reason::Late, now, out),
        }
    }

    pub(super) fn engine_answered(
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
        let life = self.engine.as_ref().map(|engine| engine.life);
        if life.is_some_and(|life| life != answer.state.life) {
            self.retire(Retirement::EngineLost, out);
            return;
        }
        self.engine = Some(answer.state);
        let event = OrderEvent::Answer {
            fence: answer.fence,
            reply: answer.reply,
        };
        self.order(event, now, out);
        match self.phase {
            Phase::Recovering => self.recover(now, out),
            Phase::Active => self.pursue(now, out),
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
        self.pursue(now, out);
    }

    /// Orders the next thing that the engine lacks.
    ///
    /// Only when every map that is decided is in the engine's plan are steps
    /// released: a rank that starts the step before a switch thereby tells
    /// all others that it will use the new map.
    pub(super) fn pursue(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.phase != Phase::Active {
            return;
        }
        self.note_in_force(now, out);
        let Some(engine) = self.engine.clone() else {
            return;
        };
        if self.set_plan(&engine, now, out) {
            self.settle_holds(&engine, now, out);
            self.load_prepared(&engine, now, out);
        }
    }

    /// Notes that the engine has started a step with the committed map.
    fn note_in_force(&mut self, now: Instant, out: &mut Vec<Command>) {
        let current = self.engine.as_ref().and_then(State::current);
        if let Open::Committed { id, switch } = self.open
            && current == Some(switch)
        {
            self.previous = Some(self.current);
            self.current = switch;
            self.open = Open::Nothing;
            out.push(Command::InForce(switch));
            if let Some(id) = id {
                self.tell(Peer::Coordinator(id.fence), Body::Applied { id }, out);
            }
            self.unload_rest(now, out);
        }
    }

    /// Drops the weights that the map in force does not need.
    fn unload_rest(&mut self, now: Instant, out: &mut Vec<Command>) {
        let map = self.current.map;
        self.experts.retain(|other, _| *other >= map);
        let (Some(needed), Some(engine)) = (self.experts.get(&map), &self.engine) else {
            return;
        };
        let spare = engine.experts.iter().copied();
        let spare: Vec<Expert> = spare.filter(|expert| !needed.contains(expert)).collect();
        for expert in spare {
            self.order(OrderEvent::Want(Action::Unload(expert)), now, out);
        }
    }

    /// Returns the maps that are used from step `next` on.
    fn plan(&self, next: Step) -> Vec<Switch> {
        let committed = match &self.open {
            Open::Committed { switch, .. } => Some(*switch),
            _ => None,
        };
        let decided = [self.previous, Some(self.current), committed];
        used_from(next, decided.into_iter().flatten().collect())
    }

    /// Tells whether the engine's plan is what is decided, no more and no
    /// less, and orders the first map in which it differs if not.
    fn set_plan(&mut self, engine: &State, now: Instant, out: &mut Vec<Command>) -> bool {
        let wanted = self.plan(engine.next);
        let set = used_from(engine.next, engine.plan.clone());
        let same = wanted.iter().zip(&set).take_while(|(a, b)| a == b);
        let same = same.count();
        if same == wanted.len() && same == set.len() {
            return true;
        }
        let next = wanted.get(same).or(wanted.last()).copied();
        if let Some(next) = next
            && self.load(next.map, engine, now, out)
        {
            self.order(OrderEvent::Want(Action::Use(next)), now, out);
        }
        false
    }

    /// Tells whether the experts of a map are loaded, and sees to it if not.
    fn load(&mut self, map: Map, engine: &State, now: Instant, out: &mut Vec<Command>) -> bool {
        let Some(experts) = self.experts.get(&map) else {
            out.push(Command::ReadMap(map));
            self.sleep(out);
            return false;
        };
        let lacking = |expert: &&Expert| !engine.experts.contains(expert) || self.moves(**expert);
        let lacking: Vec<Expert> = experts.iter().filter(lacking).copied().collect();
        for expert in &lacking {
            self.order(OrderEvent::Want(Action::Load(*expert)), now, out);
        }
        lacking.is_empty()
    }

    /// Tells whether an order to load or drop an expert is not settled, so
    /// that the engine's state does not tell whether it stays loaded.
    fn moves(&self, expert: Expert) -> bool {
        let mut wants = self.sender.iter().flat_map(Sender::pending);
        wants.any(|wish| matches!(wish, Action::Load(own) | Action::Unload(own) if *own == expert))
    }

    /// Drops the experts that neither the map in force nor `map` needs, if
    /// the engine lacks any of `map`: it may have no room for them else.
    fn make_room(&mut self, map: Map, engine: &State, now: Instant, out: &mut Vec<Command>) {
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
            self.order(OrderEvent::Want(Action::Unload(expert)), now, out);
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
        self.make_room(map, engine, now, out);
        let loaded = self.load(map, engine, now, out);
        if let Some(prepared) = &mut self.prepared
            && loaded
            && !prepared.ready
        {
            prepared.ready = true;
            self.say_ready(id, out);
        }
    }

    /// Holds the step of the proposal at hand and releases all others.
    fn settle_holds(&mut self, engine: &State, now: Instant, out: &mut Vec<Command>) {
        let hold = match &self.open {
            Open::Holding(proposal) | Open::Promised { proposal, .. } => Some(proposal.hold_step()),
            _ => None,
        };
        for step in self
            .held_steps(engine)
            .into_iter()
            .filter(|step| Some(*step) != hold)
        {
            self.order(OrderEvent::Want(Action::Release(step)), now, out);
        }
        if let (Some(step), Open::Holding(_)) = (hold, &self.open) {
            self.order(OrderEvent::Want(Action::Hold(step)), now, out);
        }
    }

    /// Returns the steps that are held, or may be by an order on its way.
    fn held_steps(&self, engine: &State) -> Vec<Step> {
        let mut steps = engine.holds.clone();
        let wants = self.sender.iter().flat_map(Sender::pending);
        steps.extend(wants.filter_map(|wish| match wish {
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
