//! The requests that an engine takes, in the form that `OpenAI` made common.

use cactusnotch_derive::message;
use serde_json::{Value, json};

/// The number of tokens of an answer whose request names none.
pub const DEFAULT_MAX_TOKENS: usize = 16;

/// One message of a conversation.
#[message]
pub struct Message {
    /// Who speaks, such as `user`.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The body of a chat completion or a completion.
#[message]
pub(crate) struct Body {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<usize>,
    #[serde(default)]
    pub(crate) stream: bool,
}

/// Which of the two calls a request makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Call {
    Chat,
    Completion,
}

impl Body {
    /// Returns the text that the model sees.
    pub(crate) fn prompt(&self, call: Call) -> String {
        match call {
            Call::Chat => prompt(&self.messages),
            Call::Completion => self.prompt.clone(),
        }
    }
}

/// Returns the text that a model sees of a conversation: a line
/// `role: content` for each message.
#[must_use]
pub fn prompt(messages: &[Message]) -> String {
    messages.iter().fold(String::new(), |text, message| {
        text + &message.role + ": " + &message.content + "\n"
    })
}

/// What all pieces of one answer have in common.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) call: Call,
    pub(crate) id: String,
    pub(crate) model: String,
}

impl Head {
    /// Returns the event of one token, or of the end of the tokens.
    pub(crate) fn chunk(&self, token: Option<&str>) -> Value {
        let finish = token.is_none().then_some("length");
        let choice = match (self.call, token) {
            (Call::Chat, Some(token)) => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": finish})
            }
            (Call::Chat, None) => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            (Call::Completion, _) => {
                json!({"index": 0, "text": token.unwrap_or(""), "finish_reason": finish})
            }
        };
        let object = match self.call {
            Call::Chat => "chat.completion.chunk",
            Call::Completion => "text_completion",
        };
        json!({"id": self.id, "object": object, "model": self.model, "choices": [choice]})
    }

    /// Returns the whole answer as one value.
    pub(crate) fn whole(&self, text: &str, prompt_tokens: usize, tokens: usize) -> Value {
        let (object, choice) = match self.call {
            Call::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"}),
            ),
            Call::Completion => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "length"}),
            ),
        };
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        });
        json!({"id": self.id, "object": object, "model": self.model, "choices": [choice], "usage": usage})
    }
}
