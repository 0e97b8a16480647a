//! An operator who edits the settings and watches the status.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::Revision;
use cactusnotch_entry::Status;
use cactusnotch_history::{self as history, Replica, Verdict, Writer};
use cactusnotch_objects::http::{Client, Options};
use cactusnotch_popularity::Shape;
use cactusnotch_settings::{Edit, Id, Key, Kind, Operation, Value};
use ureq::Agent;

use crate::{Failure, cluster};

/// How often an operator looks at the status while waiting.
const GLANCE: Duration = Duration::from_millis(20);

/// An operator who edits the settings and watches the status.
#[derive(Debug)]
pub struct Operator {
    writer: Writer<Client>,
    agent: Agent,
}

impl Operator {
    /// Creates an operator who works through the platform at `options`.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        let client = Client::new(options);
        Self {
            writer: Writer::new(client, Replica::new(), history::Options::default()),
            agent: Agent::config_builder()
                .timeout_global(Some(Duration::from_secs(5)))
                .proxy(None)
                .build()
                .new_agent(),
        }
    }

    /// Submits operations as one edit and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails unless the edit is accepted.
    pub fn edit(&mut self, reason: &str, operations: Vec<Operation>) -> Result<Revision, Failure> {
        let base = self.writer.replica().revision();
        let edit = Edit::new("lab", reason, base, operations);
        match self.writer.submit(&edit) {
            Verdict::Accepted { revision } => Ok(revision),
            verdict => Err(Failure::new("edit of the settings", verdict)),
        }
    }

    /// Declares an organisation, and a group whose model all engines serve.
    ///
    /// # Errors
    ///
    /// Fails unless the edit is accepted.
    pub fn declare(
        &mut self,
        organisation: &str,
        model: &str,
        engines: usize,
    ) -> Result<Revision, Failure> {
        let endpoints = (0..engines).map(|number| cluster::endpoint(number).to_string());
        let group = Id::new(format!("group-{model}"));
        let operations = vec![
            create(Id::new(organisation), Kind::Organisation, organisation),
            create(group.clone(), Kind::ModelGroup, model),
            set(&group, Key::Model, Value::Text(model.to_owned())),
            set(&group, Key::Endpoints, Value::Names(endpoints.collect())),
        ];
        self.edit("declare the system", operations)
    }

    /// Declares a group of ranks.
    ///
    /// # Errors
    ///
    /// Fails unless the edit is accepted.
    pub fn declare_ranks(
        &mut self,
        name: &str,
        ranks: u16,
        shape: Shape,
        weights: (u32, u32),
    ) -> Result<Revision, Failure> {
        let endpoints =
            (0..usize::from(ranks)).map(|rank| cluster::rank_endpoint(rank).to_string());
        let group = Id::new(format!("group-{name}"));
        let operations = vec![
            create(group.clone(), Kind::ModelGroup, name),
            set(&group, Key::Endpoints, Value::Names(endpoints.collect())),
            set(&group, Key::Ranks, Value::Integer(ranks.into())),
            set(&group, Key::Layers, Value::Integer(shape.layers.into())),
            set(&group, Key::Experts, Value::Integer(shape.experts.into())),
            set(&group, Key::SkewWeight, Value::Fraction(weights.0)),
            set(&group, Key::RebalancingWeight, Value::Fraction(weights.1)),
        ];
        self.edit("declare the ranks", operations)
    }

    /// Reads the status at an entry's operators' port.
    ///
    /// # Errors
    ///
    /// Fails if it does not come.
    pub fn status(&self, address: SocketAddr) -> Result<Status, Failure> {
        let fail = |error: ureq::Error| Failure::new("request for the status", error);
        let url = format!("http://{address}/status");
        let mut response = self.agent.get(url).call().map_err(fail)?;
        response.body_mut().read_json().map_err(fail)
    }

    /// Waits until the status at `address` is as wanted, and returns it.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `patience`.
    pub fn wait(
        &self,
        address: SocketAddr,
        patience: Duration,
        wanted: impl Fn(&Status) -> bool,
    ) -> Result<Status, Failure> {
        let until = clock::now() + patience;
        loop {
            let status = self.status(address)?;
            if wanted(&status) {
                return Ok(status);
            }
            if clock::now() > until {
                return Err(Failure::new("wait for the status", format!("{status:?}")));
            }
            std::thread::sleep(GLANCE);
        }
    }
}

/// Returns the operation that creates a node under the root.
#[must_use]
pub fn create(node: Id, kind: Kind, name: &str) -> Operation {
    Operation::Create {
        node,
        parent: Id::root(),
        kind,
        name: name.to_owned(),
    }
}

/// Returns the operation that overrides a value.
#[must_use]
pub fn set(node: &Id, key: Key, value: Value) -> Operation {
    Operation::Set {
        node: node.clone(),
        key,
        value,
    }
}
