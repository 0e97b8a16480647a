//! The state shared by the tasks of an entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactusnotch_attempt::Budget;
use cactusnotch_base::Clock;
use cactusnotch_claim::Signer;
use cactusnotch_node::Node;
use cactusnotch_route::Router;
use cactusnotch_settings::Resolved;

use crate::Options;
use crate::admission::Admission;
use crate::agents::Agents;
use crate::claims::Claims;
use crate::mailbox::Mailboxes;
use crate::stopping::Stopping;

/// The state shared by the tasks of an entry. Locks are held for one decision
/// and never across an await.
#[derive(Debug)]
pub(crate) struct Shared<C: Clock> {
    pub(crate) options: Options,
    pub(crate) clock: C,
    pub(crate) agents: Agents,
    pub(crate) mailboxes: Mailboxes,
    pub(crate) admission: Admission<C>,
    pub(crate) claims: Claims,
    pub(crate) signer: Signer,
    pub(crate) node: Node<C>,
    pub(crate) stopping: Stopping,
    router: Mutex<Router>,
    budget: Mutex<Budget>,
}

impl<C: Clock> Shared<C> {
    pub(crate) fn new(options: Options, node: Node<C>, clock: C) -> Self {
        Self {
            agents: Agents::default(),
            mailboxes: Mailboxes::default(),
            admission: Admission::new(&options, &node, clock.now()),
            claims: Claims::new(&options),
            signer: signer(&options),
            node,
            stopping: Stopping::default(),
            router: Mutex::new(Router::new(options.route.clone())),
            budget: Mutex::new(Budget::new(options.retry_fraction, options.retry_store)),
            clock,
            options,
        }
    }

    pub(crate) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings in force at this entry.
    pub(crate) fn settings(&self) -> Arc<Resolved> {
        Arc::clone(&self.node.view().settings)
    }
}

/// Returns the signer of tickets, keyed with the cluster's first secret, which
/// all entries share.
fn signer(options: &Options) -> Signer {
    let secret = options.node.link.secrets.first();
    Signer::new(secret.map_or(&[], |secret| secret.as_bytes()))
}
