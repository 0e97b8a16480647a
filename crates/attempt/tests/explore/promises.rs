//! The guarantees that must hold in every state.

use cactusnotch_attempt::Answer;
use cactusnotch_base::Outcome;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::message::Repeat;

use crate::world::World;

impl World {
    /// Returns the violated guarantee, if any.
    pub fn check(&self) -> Result<(), String> {
        let once = self.setup.repeat == Repeat::Once;
        if once && self.starts.len() > 1 {
            return Err(format!("the key started more than once: {:?}", self.starts));
        }
        for (number, entry) in self.entries.iter().enumerate() {
            let ran = entry
                .attempts
                .iter()
                .any(|attempt| self.starts.contains(attempt));
            match &entry.answer {
                Some(Answer::Refused {
                    outcome: Outcome::NotRun,
                    ..
                }) if ran => {
                    return Err(format!(
                        "entry {number} reported not-run for an attempt that started"
                    ));
                }
                Some(Answer::Whole { total }) => self.check_whole(number, *total)?,
                _ => {}
            }
            if once && entry.false_not_run {
                return Err(format!(
                    "entry {number} reported not-run for a key that had started"
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn check_whole(&self, number: usize, total: Sequence) -> Result<(), String> {
        let passed = &self.entries[number].passed;
        let numbers: Vec<_> = passed.iter().map(|(sequence, _)| *sequence).collect();
        let expected: Vec<_> = (1..=self.setup.pieces).collect();
        let runner = passed.first().map(|(_, data)| data[0]);
        let own = passed
            .iter()
            .all(|(sequence, data)| Some(data[0]) == runner && u64::from(data[1]) == *sequence);
        if numbers != expected || total.0 != self.setup.pieces || !own {
            return Err(format!(
                "entry {number} passed on an answer that is not complete: {passed:?}"
            ));
        }
        Ok(())
    }

    pub fn answered_whole(&self) -> bool {
        let mut answers = self
            .entries
            .iter()
            .filter_map(|entry| entry.answer.as_ref());
        answers.any(|answer| matches!(answer, Answer::Whole { .. }))
    }

    pub fn answered_not_run(&self) -> bool {
        self.answered(Outcome::NotRun)
    }

    pub fn answered_unknown(&self) -> bool {
        self.answered(Outcome::Unknown)
    }

    pub(crate) fn answered(&self, expected: Outcome) -> bool {
        let mut answers = self
            .entries
            .iter()
            .filter_map(|entry| entry.answer.as_ref());
        answers
            .any(|answer| matches!(answer, Answer::Refused { outcome, .. } if *outcome == expected))
    }
}
