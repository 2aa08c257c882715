//! Limit on the memory that the answers in progress at an instance take together.
//!
//! A faulty server may send bytes without end. The answer that holds most gives way, so that a few of
//! these do not take the memory that the sound answers of other callers need.

use std::collections::BTreeMap;

/// Number of an answer within its instance.
pub type AnswerNumber = u64;

/// What the answers in progress hold.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    limit_bytes: usize,
    /// Sum over the answers that were not told to give way. Invariant: at most `limit_bytes`.
    used_bytes: usize,
    held: BTreeMap<AnswerNumber, Held>,
    next_number: AnswerNumber,
}

/// What one answer holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    bytes: usize,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The server may send more of it.
    Incomplete,
    /// It is complete, and is delivered whatever happens.
    Complete,
    /// It was told to give way.
    GivesWay,
}

/// Result of a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocation {
    /// The answer may hold the bytes.
    Granted,
    /// The answer may hold the bytes, and a larger one has to give way.
    GrantedInPlaceOf(AnswerNumber),
    /// The answer has to give way itself.
    Refused,
}

impl AnswerMemory {
    /// Creates a limit with no answers.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: 0,
            held: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Adds an answer, which holds nothing yet.
    pub fn add(&mut self) -> AnswerNumber {
        let number = self.next_number;
        self.next_number += 1;
        let held = Held {
            bytes: 0,
            stage: Stage::Incomplete,
        };
        self.held.insert(number, held);
        number
    }

    /// Removes an answer, which holds nothing any more.
    pub fn remove(&mut self, number: AnswerNumber) {
        let Some(held) = self.held.remove(&number) else {
            return;
        };
        if held.stage != Stage::GivesWay {
            self.used_bytes -= held.bytes;
        }
    }

    /// Records that an answer is complete. It does not give way any more.
    pub fn complete(&mut self, number: AnswerNumber) {
        let held = self.held.get_mut(&number);
        if let Some(held) = held.filter(|held| held.stage == Stage::Incomplete) {
            held.stage = Stage::Complete;
        }
    }

    /// Changes the memory that an incomplete answer holds.
    pub fn resize(&mut self, number: AnswerNumber, bytes: usize) -> Allocation {
        let held = self.held.get(&number).copied();
        let Some(held) = held.filter(|held| held.stage == Stage::Incomplete) else {
            return Allocation::Refused;
        };
        let others_bytes = self.used_bytes - held.bytes;
        let allocation = if others_bytes + bytes <= self.limit_bytes {
            Allocation::Granted
        } else {
            self.replace_larger(number, bytes)
        };
        match allocation {
            Allocation::Granted => {}
            Allocation::GrantedInPlaceOf(larger) => self.revoke(larger),
            Allocation::Refused => {
                self.revoke(number);
                return allocation;
            }
        }
        self.used_bytes = self.used_bytes - held.bytes + bytes;
        self.held.insert(number, Held { bytes, ..held });
        allocation
    }

    /// Returns the memory that answers hold which were not told to give way, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Chooses between an answer that wants to hold `bytes` and the largest other one that is incomplete.
    /// If that is larger, it suffices: the answers were within the limit before.
    fn replace_larger(&self, number: AnswerNumber, bytes: usize) -> Allocation {
        let others = self
            .held
            .iter()
            .filter(|(other, held)| **other != number && held.stage == Stage::Incomplete);
        match others.max_by_key(|(_, held)| held.bytes) {
            Some((largest, held)) if held.bytes > bytes => Allocation::GrantedInPlaceOf(*largest),
            _ => Allocation::Refused,
        }
    }

    fn revoke(&mut self, number: AnswerNumber) {
        if let Some(held) = self.held.get_mut(&number) {
            held.stage = Stage::GivesWay;
            self.used_bytes -= held.bytes;
        }
    }
}
