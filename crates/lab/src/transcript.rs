//! A streamed answer as its events come.

use cactusnotch_base::clock::{self, Instant};
use serde_json::Value;

use crate::caller::{Answer, Outcome};

/// A streamed answer as its events come, line by line.
///
/// An event counts once its blank line has come, so that one that was cut is
/// sent again to a caller that resumes.
#[derive(Debug)]
pub(crate) struct Transcript {
    start: Instant,
    answer: Answer,
    last_token: Option<Instant>,
    event: Event,
    is_whole: bool,
}

/// The event whose lines come.
#[derive(Debug, Default)]
struct Event {
    id: Option<u64>,
    is_error: bool,
    data: String,
}

impl Transcript {
    /// Creates the transcript of an answer that was due to be asked for at
    /// `start`, whose events up to `after` the caller has.
    pub(crate) fn new(start: Instant, after: Option<u64>) -> Self {
        Self {
            start,
            answer: Answer {
                last_event: after.unwrap_or_default(),
                ..Answer::default()
            },
            last_token: None,
            event: Event::default(),
            is_whole: false,
        }
    }

    /// Takes one line, without its end.
    pub(crate) fn line(&mut self, line: &str) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            self.take(&event);
        } else if let Some(id) = line.strip_prefix("id: ") {
            self.event.id = Some(id.parse().unwrap_or_default());
        } else if line == "event: error" {
            self.event.is_error = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            self.event.data.push_str(data);
        }
    }

    fn take(&mut self, event: &Event) {
        if let Some(id) = event.id {
            // The head of the answer has the first number and no event.
            self.answer.misnumbered |= id != self.answer.last_event.max(1) + 1;
            self.answer.last_event = id;
        }
        if event.data == "[DONE]" {
            self.is_whole = true;
            return;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or(Value::Null);
        if event.is_error {
            self.answer.stated = data["outcome"].as_str().map(str::to_owned);
        } else if let Some(text) = data["choices"][0]["delta"]["content"].as_str() {
            self.token(text);
        }
    }

    fn token(&mut self, text: &str) {
        let now = clock::now();
        match self.last_token.replace(now) {
            None => self.answer.first_token = Some(now.saturating_duration_since(self.start)),
            Some(before) => self.answer.gaps.push(now - before),
        }
        self.answer.text.push_str(text);
    }

    /// Tells whether the end mark has come.
    pub(crate) const fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Returns what came of the request, after the last line. `is_severed`
    /// tells whether the transport said that the answer broke off.
    pub(crate) fn finish(mut self, is_severed: bool) -> Outcome {
        self.answer.is_severed = is_severed;
        if self.is_whole {
            Outcome::Whole(self.answer)
        } else {
            Outcome::Broken(self.answer)
        }
    }
}
