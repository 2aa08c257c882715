//! Objects of the simulated store, and the calls that change them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use mimosabay_core::name::Name;
use serde_json::{Value, json};

use super::store::{LostWrites, StoreCopy};
use crate::reply::{self, Closed, Reply};
use crate::server::Call;

/// Kinds of objects that the operator and the servers write.
const FOREIGN_KINDS: [&str; 4] = ["config", "evacuations", "servers", "versions"];
/// Calls that change objects and are accepted in a second, unless another limit is set.
pub const WRITES_PER_S: usize = 400;
/// Other calls that are accepted in a second.
const READS_PER_S: usize = 2_000;
/// Time over which calls are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Content and settings of a store.
#[derive(Debug, Default)]
pub(super) struct Tables {
    /// Number of the copy that the store runs on.
    pub(super) era: u64,
    /// What the answers state instead of the era; an empty text for no header.
    pub(super) stated_era: Option<String>,
    /// Number of times that waiting watches were cut.
    pub(super) cut_count: u64,
    pub(super) revision: u64,
    /// Watches from a revision before this one are answered with 410.
    pub(super) compacted_revision: u64,
    pub(super) objects: BTreeMap<(Name, Name), Value>,
    /// Changes as revision, kind of object and event, oldest first.
    pub(super) events: Vec<(u64, Name, Value)>,
    /// Content of the entries of another writer, as text that need not be valid.
    pub(super) odd_entry: Option<String>,
    /// Number of objects on one page of a list.
    pub(super) page_size: usize,
    /// Kind whose lists have the first page again and again.
    pub(super) repeated_kind: Option<Name>,
    /// Whether every request is answered with 503.
    pub(super) is_down: bool,
    /// Number of further writes that are applied but not answered.
    pub(super) responses_to_drop: u32,
    /// Whether writes are kept and not answered.
    pub(super) are_writes_held: bool,
    held_writes: Vec<Write>,
    /// Kind whose objects are not replaced, although the answers say so.
    pub(super) unchanging_kind: Option<Name>,
    /// Time from the execution of a write to its answer.
    pub(super) write_delay: Duration,
    pub(super) write_rate: Rate,
    read_rate: Rate,
    pub(super) write_count: u64,
    pub(super) read_count: u64,
    /// Number of watches so far, by kind of object.
    pub(super) watch_counts: BTreeMap<Name, u64>,
}

/// Calls of the last second, and how many of them are accepted.
#[derive(Debug, Default)]
pub(super) struct Rate {
    per_s: usize,
    accepted: Vec<Instant>,
}

/// What a write does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Create,
    Replace,
    Remove,
}

/// A call that changes one object.
#[derive(Clone, Debug)]
pub(super) struct Write {
    action: Action,
    key: (Name, Name),
    /// Revision that the object must have.
    expected_revision: Option<u64>,
    spec: Value,
}

/// What became of a write that was executed late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldWrite {
    /// Kind of the object.
    pub kind: Name,
    /// Whether the write removes the object.
    pub is_removal: bool,
    /// Whether its condition still held.
    pub has_taken_effect: bool,
}

impl Rate {
    fn new(per_s: usize) -> Self {
        Self {
            per_s,
            accepted: Vec::new(),
        }
    }

    /// Sets the number of calls that are accepted in a second.
    pub(super) fn set_limit(&mut self, per_s: usize) {
        self.per_s = per_s;
    }

    /// Counts a call; returns whether it is accepted.
    fn admit(&mut self) -> bool {
        let now = Instant::now();
        self.accepted
            .retain(|at| now.duration_since(*at) <= RATE_WINDOW);
        let is_accepted = self.accepted.len() < self.per_s;
        if is_accepted {
            self.accepted.push(now);
        }
        is_accepted
    }
}

impl Write {
    /// Decodes a call that changes an object of a kind.
    ///
    /// # Errors
    ///
    /// What is wrong with the call.
    pub(super) fn of_call(
        call: &Call,
        kind: &str,
        name: Option<&str>,
    ) -> Result<Self, &'static str> {
        let body: Value = call.json().unwrap_or(Value::Null);
        let Some(name) = name.or(body["metadata"]["name"].as_str()) else {
            return Err("no name");
        };
        let action = match call.method {
            Method::POST => Action::Create,
            Method::PUT => Action::Replace,
            Method::DELETE => Action::Remove,
            _ => return Err("no such method"),
        };
        Ok(Self {
            action,
            key: (kind.into(), name.into()),
            expected_revision: body["metadata"]["revision"]
                .as_u64()
                .or_else(|| call.number("revision")),
            spec: body["spec"].clone(),
        })
    }
}

/// The response to a call beyond the rates of the store.
pub(super) fn too_many_calls() -> Reply {
    reply::error(StatusCode::TOO_MANY_REQUESTS, "too many calls")
}

impl Tables {
    /// Creates the tables of an empty store.
    pub(super) fn new(page_size: usize) -> Self {
        Self {
            era: 1,
            revision: 1,
            page_size,
            write_rate: Rate::new(WRITES_PER_S),
            read_rate: Rate::new(READS_PER_S),
            ..Self::default()
        }
    }

    /// Counts a read; returns whether it is accepted.
    pub(super) fn admit_read(&mut self) -> bool {
        self.read_count += 1;
        self.read_rate.admit()
    }

    /// Answers a write that was received.
    pub(super) fn receive(&mut self, write: Write) -> Reply {
        self.write_count += 1;
        if !self.write_rate.admit() {
            return too_many_calls();
        }
        if self.are_writes_held {
            self.held_writes.push(write);
            return Err(Closed);
        }
        if !self.holds(&write) {
            return self.refusal(&write);
        }
        let answer = self.execute(&write);
        if self.responses_to_drop > 0 {
            self.responses_to_drop -= 1;
            return Err(Closed);
        }
        answer
    }

    /// Number of kept writes that remove an object of a kind.
    pub(super) fn held_removals(&self, kind: &str) -> usize {
        let held = self.held_writes.iter();
        held.filter(|write| write.action == Action::Remove && &*write.key.0 == kind)
            .count()
    }

    /// Executes the writes that were kept, each if its condition still holds.
    pub(super) fn execute_held(&mut self) -> Vec<HeldWrite> {
        let held = std::mem::take(&mut self.held_writes);
        held.into_iter()
            .map(|write| self.execute_late(write))
            .collect()
    }

    fn execute_late(&mut self, write: Write) -> HeldWrite {
        let has_taken_effect = self.holds(&write) && self.execute(&write).is_ok();
        HeldWrite {
            kind: write.key.0,
            is_removal: write.action == Action::Remove,
            has_taken_effect,
        }
    }

    /// Whether the condition of a write holds.
    fn holds(&self, write: &Write) -> bool {
        let Some(current) = self.objects.get(&write.key) else {
            return write.action == Action::Create;
        };
        let revision = current["metadata"]["revision"].as_u64();
        let is_expected = write.expected_revision.is_none() || write.expected_revision == revision;
        write.action != Action::Create && is_expected
    }

    /// The response to a write whose condition does not hold.
    fn refusal(&self, write: &Write) -> Reply {
        match self.objects.get(&write.key) {
            Some(current) => reply::json(StatusCode::CONFLICT, current),
            None => reply::error(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn execute(&mut self, write: &Write) -> Reply {
        let (kind, name) = &write.key;
        let is_ignored = self.unchanging_kind.as_ref() == Some(kind);
        if is_ignored && write.action == Action::Replace {
            return reply::ok(&self.objects[&write.key]);
        }
        if write.action == Action::Remove {
            let answer = reply::ok(&self.objects[&write.key]);
            self.remove(kind, name);
            return answer;
        }
        self.write(kind, name, &write.spec);
        reply::ok(&self.objects[&write.key])
    }

    /// What the operator and the servers have written since a copy was made.
    pub(super) fn writes_since(&self, copy: &StoreCopy) -> LostWrites {
        let is_foreign = |key: &(Name, Name)| FOREIGN_KINDS.contains(&&*key.0);
        let written = self.objects.iter().filter(|(key, object)| {
            is_foreign(key)
                && copy
                    .objects
                    .get(*key)
                    .is_none_or(|it| it["spec"] != object["spec"])
        });
        let written = written.map(|(key, object)| (key.clone(), Some(object["spec"].clone())));
        let removed = copy.objects.keys();
        let removed = removed.filter(|key| is_foreign(key) && !self.objects.contains_key(*key));
        let removed = removed.map(|key| (key.clone(), None));
        LostWrites(written.chain(removed).collect())
    }

    /// Creates or replaces an object; returns the revision of its last change. A write that changes nothing
    /// is no change.
    pub(super) fn write(&mut self, kind: &str, name: &str, spec: &Value) -> u64 {
        let key = (Name::from(kind), Name::from(name));
        let current = self.objects.get(&key);
        if let Some(current) = current.filter(|current| current["spec"] == *spec) {
            return current["metadata"]["revision"]
                .as_u64()
                .expect("a revision is a number");
        }
        let next_revision = self.revision + 1;
        let created = current.map_or(json!(next_revision), |it| it["metadata"]["created"].clone());
        let object = json!({
            "metadata": {
                "name": name,
                "revision": next_revision,
                "created": created,
                "finalizers": [],
                "deleting": false,
            },
            "spec": spec,
            "status": null,
        });
        self.revision = next_revision;
        let event = json!({ "deleted": false, "object": object });
        self.events.push((next_revision, kind.into(), event));
        self.objects.insert(key, object);
        next_revision
    }

    /// Removes an object, if it exists.
    pub(super) fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.into(), name.into())) {
            self.revision += 1;
            let event = json!({ "deleted": true, "object": object });
            self.events.push((self.revision, kind.into(), event));
        }
    }
}
