//! What is remembered of a run.

use cactusnotch_base::number::Sequence;

use crate::answer::Answer;
use crate::message::{Fault, Repeat, Run};
use crate::{Age, Attempt, Identity, Link};

/// A conversation that receives the pieces of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Listener {
    pub(crate) link: Link,
    pub(crate) attempt: Attempt,
    /// The latest start of the listener's own attempt, if it asked for a run.
    pub(crate) start_by: Option<Age>,
}

/// How far a run has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum State {
    Running {
        listeners: Vec<Listener>,
        finish_by: Age,
        /// The age since which nobody listens.
        alone_since: Option<Age>,
    },
    Finished,
    Broken(Fault),
}

/// A run that was started.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Row {
    pub(crate) identity: Identity,
    pub(crate) digest: u64,
    pub(crate) repeat: Repeat,
    /// The latest start of the attempt.
    pub(crate) start_by: Age,
    pub(crate) linger_ms: u64,
    pub(crate) state: State,
    pub(crate) answer: Answer,
}

impl Row {
    pub(crate) fn new(run: &Run, finish_by: Age) -> Self {
        Self {
            identity: run.identity.clone(),
            digest: run.digest,
            repeat: run.repeat,
            start_by: run.window.start_by,
            linger_ms: run.linger_ms,
            state: State::Running {
                listeners: Vec::new(),
                finish_by,
                alone_since: None,
            },
            answer: Answer::default(),
        }
    }

    pub(crate) fn names(&self, identity: &Identity, digest: u64) -> bool {
        self.identity == *identity && self.digest == digest
    }

    /// Adds or renews a conversation.
    pub(crate) fn listen(&mut self, listener: Listener) {
        if let State::Running {
            listeners,
            alone_since,
            ..
        } = &mut self.state
        {
            *alone_since = None;
            match listeners
                .iter_mut()
                .find(|known| known.attempt == listener.attempt)
            {
                Some(known) => *known = listener,
                None => listeners.push(listener),
            }
        }
    }

    /// Ends the conversations that `leaves` names.
    pub(crate) fn unlisten(&mut self, now: Age, leaves: impl Fn(&Listener) -> bool) {
        if let State::Running {
            listeners,
            alone_since,
            ..
        } = &mut self.state
        {
            listeners.retain(|listener| !leaves(listener));
            if listeners.is_empty() && alone_since.is_none() {
                *alone_since = Some(now);
            }
        }
    }

    /// Returns the fault that ends the run now, if its time is over.
    pub(crate) fn overdue(&self, now: Age) -> Option<Fault> {
        let State::Running {
            finish_by,
            alone_since,
            ..
        } = &self.state
        else {
            return None;
        };
        if now >= *finish_by {
            return Some(Fault::Deadline);
        }
        let since = (*alone_since)?;
        (now.0 >= since.0.saturating_add(self.linger_ms)).then_some(Fault::Cancelled)
    }

    /// Ends the run and returns those who listened.
    pub(crate) fn end(&mut self, state: State) -> Vec<Listener> {
        match std::mem::replace(&mut self.state, state) {
            State::Running { listeners, .. } => listeners,
            State::Finished | State::Broken(_) => Vec::new(),
        }
    }

    pub(crate) fn made(&self) -> Sequence {
        self.answer.made()
    }
}
