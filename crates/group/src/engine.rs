//! The client of the rank's engine, whose protocol `docs/ENGINE.md` defines.

use std::time::Duration;

use cactusnotch_base::number::{Fence, Sequence};
use cactusnotch_order::{Answer, Order};
use cactusnotch_placement::Map as Content;
use cactusnotch_popularity::Report;
use cactusnotch_switch::engine::{Action, State};
use serde::Serialize;
use ureq::Agent;

/// The time limit for an answer of the engine.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The client of the rank's engine. Its calls block, and return `None` without
/// an answer.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    base: String,
    agent: Agent,
}

#[derive(Serialize)]
struct Command<'a> {
    fence: Fence,
    order: Action,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a Content>,
}

impl Engine {
    pub(crate) fn new(base: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .proxy(None)
            .build()
            .new_agent();
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent,
        }
    }

    /// Sends an order, with the content of the map that it refers to.
    pub(crate) fn order(
        &self,
        order: &Order<Action>,
        content: Option<&Content>,
    ) -> Option<Answer<State>> {
        let command = Command {
            fence: order.fence,
            order: order.wanted,
            content,
        };
        let url = format!("{}/orders", self.base);
        let mut response = self.agent.post(url).send_json(command).ok()?;
        response.body_mut().read_json().ok()
    }

    /// Reads the engine's state as the answer to `fence`.
    pub(crate) fn state(&self, fence: Fence) -> Option<Answer<State>> {
        let url = format!("{}/state", self.base);
        let mut response = self.agent.get(url).call().ok()?;
        let answer: Answer<State> = response.body_mut().read_json().ok()?;
        Some(Answer { fence, ..answer })
    }

    /// Reads the reports that follow `after`.
    pub(crate) fn reports(&self, after: Sequence) -> Option<Vec<Report>> {
        let url = format!("{}/popularity?after={after}", self.base);
        let mut response = self.agent.get(url).call().ok()?;
        response.body_mut().read_json().ok()
    }
}
