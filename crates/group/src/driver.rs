//! Runs the state machines beside a rank.

use std::sync::{Arc, Mutex, PoisonError};

use cactusnotch_base::Clock;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::{Group, Process};
use cactusnotch_objects::http::Client;
use cactusnotch_placement::{Map as Content, Rank as Place, Replica, Share};
use cactusnotch_popularity::Shape;
use cactusnotch_wire::group::{Body, Message};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::coordination::Coordination;
use crate::engine::Engine;
use crate::input::{Input, Requester};
use crate::membership::Membership;
use crate::objects::Objects;
use crate::{Options, Status, Transport};

/// The number of inputs that may be queued.
const INPUTS_MAX: usize = 1024;

/// The number of ranks whose agents may coordinate the group, from rank 0 on.
pub(crate) const CANDIDATES: u16 = 2;

/// Runs the state machines beside a rank until it is dropped.
#[derive(Debug)]
pub struct Driver {
    group: Group,
    inputs: mpsc::Sender<Input>,
    status: Arc<Mutex<Status>>,
    task: JoinHandle<()>,
}

/// The shared context of the state machines beside a rank.
#[derive(Debug, Clone)]
pub(crate) struct Context<P, C> {
    pub(crate) options: Options,
    pub(crate) transport: P,
    pub(crate) clock: C,
    pub(crate) objects: Objects,
    pub(crate) engine: Engine,
    pub(crate) inputs: mpsc::Sender<Input>,
}

impl Driver {
    /// Starts the driver on the current tokio runtime.
    #[must_use]
    pub fn start<P: Transport, C: Clock>(options: Options, transport: P, clock: C) -> Self {
        let (inputs, receiver) = mpsc::channel(INPUTS_MAX);
        let store = Client::new(&options.platform);
        let first = initial_map(options.size, options.shape);
        let context = Context {
            objects: Objects::new(store, options.group.clone(), options.size, first),
            engine: Engine::new(&options.engine),
            inputs: inputs.clone(),
            transport,
            clock,
            options,
        };
        let group = context.options.group.clone();
        let status = Arc::new(Mutex::new(Status {
            group: group.clone(),
            rank: context.options.rank,
            current: None,
            fence: None,
            applied: 0,
            given_up: 0,
        }));
        let task = tokio::spawn(run(context, receiver, Arc::clone(&status)));
        Self {
            group,
            inputs,
            status,
            task,
        }
    }

    /// Returns the group.
    #[must_use]
    pub const fn group(&self) -> &Group {
        &self.group
    }

    /// Queues a message of the agent `from`; it is dropped if the queue is
    /// full.
    pub fn receive(&self, from: &Process, body: Body) {
        let from = from.clone();
        // The protocol repeats essential messages.
        let _ = self.inputs.try_send(Input::Message { from, body });
    }

    /// Returns the status of the rank's part in the group.
    #[must_use]
    pub fn status(&self) -> Status {
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.clone()
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<P: Transport, C: Clock> Context<P, C> {
    /// Makes a blocking call on a separate thread, and queues its result if
    /// there is one.
    pub(crate) fn call(
        &self,
        call: impl FnOnce(&Objects, &Engine) -> Option<Input> + Send + 'static,
    ) {
        let (objects, engine) = (self.objects.clone(), self.engine.clone());
        let inputs = self.inputs.clone();
        tokio::task::spawn_blocking(move || {
            if let Some(input) = call(&objects, &engine) {
                // The driver may have ended.
                let _ = inputs.blocking_send(input);
            }
        });
    }

    pub(crate) fn send(&self, to: &Process, body: Body) {
        let group = self.options.group.clone();
        self.transport.send(to, Message { group, body });
    }
}

async fn run<P: Transport, C: Clock>(
    context: Context<P, C>,
    mut receiver: mpsc::Receiver<Input>,
    status: Arc<Mutex<Status>>,
) {
    let may_coordinate = context.options.rank.0 < CANDIDATES;
    let mut membership = Membership::new(&context);
    let mut coordination = may_coordinate.then(|| Coordination::new(&context));
    membership.start(&context);
    if let Some(coordination) = &mut coordination {
        coordination.start(&context);
    }
    loop {
        let wake = earliest(
            membership.wake(),
            coordination.as_ref().map(Coordination::wake),
        );
        tokio::select! {
            input = receiver.recv() => {
                let Some(input) = input else { return };
                dispatch(&context, input, &mut membership, coordination.as_mut());
            }
            () = tokio::time::sleep(wake.remaining()) => {}
        }
        membership.tick(&context);
        if let Some(coordination) = &mut coordination {
            coordination.tick(&context, &membership);
        }
        let mut status = status.lock().unwrap_or_else(PoisonError::into_inner);
        status.current = membership.current();
        if let Some(coordination) = &coordination {
            coordination.update_status(&mut status);
        }
    }
}

fn dispatch<P: Transport, C: Clock>(
    context: &Context<P, C>,
    input: Input,
    membership: &mut Membership,
    coordination: Option<&mut Coordination>,
) {
    match (input, coordination) {
        (Input::Message { from, body }, coordination) => match body {
            Body::Switch(message) => {
                use cactusnotch_switch::message::Body as Switch;
                let is_for_coordinator = matches!(
                    message.body,
                    Switch::Ready { .. } | Switch::Vote { .. } | Switch::Applied { .. }
                );
                membership.record_sender(&from, &message);
                let asks = matches!(message.body, Switch::Query { .. } | Switch::Outcome { .. });
                if let Some(coordination) = coordination
                    && (is_for_coordinator || asks)
                {
                    coordination.received(context, message.clone());
                }
                if !is_for_coordinator {
                    membership.received(context, message);
                }
            }
            Body::Reports(reports) => {
                if let Some(coordination) = coordination {
                    coordination.observe(context, &reports);
                }
            }
        },
        (
            Input::Group {
                requester: Requester::Member,
                version,
                view,
            },
            _,
        ) => membership.group_read(context, version, view),
        (Input::Group { version, view, .. }, Some(coordination)) => {
            coordination.group_read(context, version, view);
        }
        (Input::Lease(lease), Some(coordination)) => coordination.lease_read(context, lease),
        (Input::Recorded { map, content }, Some(coordination)) => {
            membership.keep(map, content);
            coordination.recorded(context, map);
        }
        (Input::Content { map, content }, _) => membership.content_read(context, map, content),
        (Input::InForce { map, content }, _) => membership.keep(map, content),
        (Input::Engine(answer), _) => membership.engine_answered(context, answer),
        (Input::Reports(reports), coordination) => {
            membership.reported(context, &reports);
            if let Some(coordination) = coordination {
                coordination.observe(context, &reports);
            }
        }
        (Input::Group { .. } | Input::Lease(_) | Input::Recorded { .. }, None) => {}
    }
}

fn earliest(first: Instant, second: Option<Instant>) -> Instant {
    second.map_or(first, |second| first.min(second))
}

/// Returns the map that gives each expert one replica, round-robin over the
/// ranks.
fn initial_map(ranks: u16, shape: Shape) -> Content {
    let row = |expert: u16| {
        vec![Replica {
            rank: Place(expert % ranks.max(1)),
            share: Share::WHOLE,
        }]
    };
    let rows = (0..shape.layers).flat_map(|_| (0..shape.experts).map(row));
    Content::new(shape, rows.collect()).expect("each expert has one whole replica")
}
