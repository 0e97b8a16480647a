//! The record of a run.

use cactusnotch_base::number::Sequence;

use crate::answer::Answer;
use crate::message::{Fault, Repeat, Run};
use crate::{Age, Attempt, Identity, Link};

/// A conversation that receives the pieces of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Listener {
    pub(crate) link: Link,
    pub(crate) attempt: Attempt,
    /// The latest start of the listener's own attempt, if it requested a run.
    pub(crate) start_by: Option<Age>,
}

/// The state of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum State {
    Running {
        listeners: Vec<Listener>,
        finish_by: Age,
        /// The age since which the run has no listeners.
        detached_since: Option<Age>,
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
                detached_since: None,
            },
            answer: Answer::default(),
        }
    }

    pub(crate) fn matches(&self, identity: &Identity, digest: u64) -> bool {
        self.identity == *identity && self.digest == digest
    }

    /// Adds or replaces a listener.
    pub(crate) fn add_listener(&mut self, listener: Listener) {
        if let State::Running {
            listeners,
            detached_since,
            ..
        } = &mut self.state
        {
            *detached_since = None;
            match listeners
                .iter_mut()
                .find(|known| known.attempt == listener.attempt)
            {
                Some(known) => *known = listener,
                None => listeners.push(listener),
            }
        }
    }

    /// Removes the listeners for which `is_removed` returns true.
    pub(crate) fn remove_listeners(&mut self, now: Age, is_removed: impl Fn(&Listener) -> bool) {
        if let State::Running {
            listeners,
            detached_since,
            ..
        } = &mut self.state
        {
            listeners.retain(|listener| !is_removed(listener));
            if listeners.is_empty() && detached_since.is_none() {
                *detached_since = Some(now);
            }
        }
    }

    /// Returns the fault with which the run ends at `now`, if it has expired.
    pub(crate) fn expired(&self, now: Age) -> Option<Fault> {
        let State::Running {
            finish_by,
            detached_since,
            ..
        } = &self.state
        else {
            return None;
        };
        if now >= *finish_by {
            return Some(Fault::Deadline);
        }
        let since = (*detached_since)?;
        (now.0 >= since.0.saturating_add(self.linger_ms)).then_some(Fault::Cancelled)
    }

    /// Ends the run and returns its listeners.
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
