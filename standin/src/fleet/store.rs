//! The platform's object store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, StatusCode};
use mimosabay_core::name::Name;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::reply::{self, Closed, Reply};
use crate::server::{self, Call, Network, Service};

/// Objects on one page of a list.
const PAGE: usize = 20;

/// A store. Cloning it shares the objects.
#[derive(Clone, Debug)]
pub struct FleetStore {
    tables: Arc<Mutex<Tables>>,
    changed: Arc<watch::Sender<u64>>,
    network: Network,
}

#[derive(Debug, Default)]
struct Tables {
    revision: u64,
    /// Changes up to this revision can no longer be watched.
    compacted: u64,
    objects: BTreeMap<(Name, Name), Value>,
    /// Changes with their revision and kind, oldest first.
    events: Vec<(u64, Name, Value)>,
    /// Whether every call is answered with 503.
    is_down: bool,
    /// Writes that are carried out and not answered.
    lost_answers: u32,
    writes: u64,
    /// Watches so far, by kind.
    watches: BTreeMap<Name, u64>,
}

impl FleetStore {
    /// Starts to serve an empty store.
    pub fn start(listener: TcpListener) -> Self {
        let tables = Tables {
            revision: 1,
            ..Tables::default()
        };
        let store = Self {
            tables: Arc::new(Mutex::new(tables)),
            changed: Arc::new(watch::Sender::new(1)),
            network: Network::default(),
        };
        tokio::spawn(server::run(listener, store.clone()));
        store
    }

    /// Creates or replaces an object as an operator or a server does; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        self.with(|tables| tables.write(kind, name, spec))
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.with(|tables| tables.remove(kind, name));
    }

    /// What an object says.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let tables = self.tables.lock().expect("store lock");
        let object = tables.objects.get(&(kind.into(), name.into()))?;
        Some(object["spec"].clone())
    }

    /// Whether every call is answered with 503 from now on.
    pub fn set_down(&self, is_down: bool) {
        self.with(|tables| tables.is_down = is_down);
    }

    /// Carries out the next writes without answering them.
    pub fn lose_answers(&self, count: u32) {
        self.with(|tables| tables.lost_answers = count);
    }

    /// Forgets which changes led to the present state.
    pub fn compact(&self) {
        self.with(|tables| tables.compacted = tables.revision);
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.network.silence_open();
    }

    /// Whether open and new connections are silent from now on. Those of that time stay silent.
    pub fn set_silent(&self, is_silent: bool) {
        self.network.set_silent(is_silent);
    }

    /// Writes of instances so far.
    pub fn writes(&self) -> u64 {
        self.tables.lock().expect("store lock").writes
    }

    /// Watches of a kind so far.
    pub fn watches(&self, kind: &str) -> u64 {
        let tables = self.tables.lock().expect("store lock");
        tables.watches.get(kind).copied().unwrap_or_default()
    }

    fn count_watch(&self, kind: &str) {
        let mut tables = self.tables.lock().expect("store lock");
        *tables.watches.entry(kind.into()).or_default() += 1;
    }

    fn with<T>(&self, act: impl FnOnce(&mut Tables) -> T) -> T {
        let mut tables = self.tables.lock().expect("store lock");
        let result = act(&mut tables);
        let revision = tables.revision;
        drop(tables);
        self.changed.send_replace(revision);
        result
    }

    async fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Reply {
        let mut changed = self.changed.subscribe();
        let wait = async {
            loop {
                changed.borrow_and_update();
                if let Some(answer) = self.changes(kind, since, false) {
                    return answer;
                }
                if changed.changed().await.is_err() {
                    return Err(Closed);
                }
            }
        };
        match timeout(Duration::from_millis(wait_ms), wait).await {
            Ok(answer) => answer,
            Err(_) => self.changes(kind, since, true).unwrap_or(Err(Closed)),
        }
    }

    /// The answer to a watch; `None` if there is nothing to tell yet.
    fn changes(&self, kind: &str, since: u64, may_be_empty: bool) -> Option<Reply> {
        let tables = self.tables.lock().expect("store lock");
        if tables.is_down {
            return Some(reply::error(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        if since < tables.compacted {
            return Some(reply::error(StatusCode::GONE, "history is gone"));
        }
        let events = tables.events.iter();
        let events = events.filter(|(revision, of, _)| *revision > since && &**of == kind);
        let events: Vec<&Value> = events.map(|(_, _, event)| event).collect();
        if events.is_empty() && !may_be_empty {
            return None;
        }
        let revision = tables.revision;
        Some(reply::ok(
            &json!({ "events": events, "currentRev": revision }),
        ))
    }

    fn change(&self, call: &Call, kind: &str, name: Option<&str>) -> Reply {
        let body: Value = call.json().unwrap_or(Value::Null);
        let told_revision = body["metadata"]["revision"]
            .as_u64()
            .or_else(|| call.number("revision"));
        let named = body["metadata"]["name"].as_str();
        let Some(name) = name.or(named) else {
            return reply::error(StatusCode::BAD_REQUEST, "no name");
        };
        let key = (Name::from(kind), Name::from(name));
        let mut is_lost = false;
        let answer = self.with(|tables| {
            tables.writes += 1;
            let current = tables.objects.get(&key).cloned();
            let revision = current
                .as_ref()
                .map(|it| it["metadata"]["revision"].clone());
            let is_create = call.method == Method::POST;
            if is_create && current.is_some() {
                return reply::json(StatusCode::CONFLICT, &current);
            }
            if !is_create && current.is_none() {
                return reply::error(StatusCode::NOT_FOUND, "no such object");
            }
            if told_revision.is_some() && told_revision != revision.and_then(|it| it.as_u64()) {
                return reply::json(StatusCode::CONFLICT, &current);
            }
            is_lost = tables.lost_answers > 0;
            tables.lost_answers = tables.lost_answers.saturating_sub(1);
            if call.method == Method::DELETE {
                tables.remove(kind, name);
                return reply::ok(&current);
            }
            tables.write(kind, name, &body["spec"]);
            reply::ok(&tables.objects[&key])
        });
        if is_lost { Err(Closed) } else { answer }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Reply {
        let tables = self.tables.lock().expect("store lock");
        let objects = tables.objects.iter();
        let mut names = objects
            .filter(|((of, name), _)| &**of == kind && after.is_none_or(|after| &**name > after));
        let items: Vec<&Value> = names
            .by_ref()
            .take(PAGE)
            .map(|(_, object)| object)
            .collect();
        reply::ok(&json!({
            "items": items,
            "hasMore": names.next().is_some(),
            "currentRev": tables.revision,
        }))
    }
}

impl Service for FleetStore {
    fn network(&self) -> &Network {
        &self.network
    }

    async fn answer(&self, call: Call) -> Reply {
        let segments = call.segments();
        let (kind, name) = match segments.as_slice() {
            ["api", "objects", kind] => (*kind, None),
            ["api", "objects", kind, name] => (*kind, Some(*name)),
            _ => return reply::error(StatusCode::NOT_FOUND, "no such path"),
        };
        if self.tables.lock().expect("store lock").is_down {
            return reply::error(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        if call.method != Method::GET {
            return self.change(&call, kind, name);
        }
        if let Some(since) = call.number("watch") {
            let wait_ms = call.number("waitMs").unwrap_or(0);
            self.count_watch(kind);
            return self.watch(kind, since, wait_ms).await;
        }
        match name {
            None => self.list(kind, call.query("after")),
            Some(name) => {
                let tables = self.tables.lock().expect("store lock");
                match tables.objects.get(&(kind.into(), name.into())) {
                    Some(object) => reply::ok(object),
                    None => reply::error(StatusCode::NOT_FOUND, "no such object"),
                }
            }
        }
    }
}

impl Tables {
    fn write(&mut self, kind: &str, name: &str, spec: &Value) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let object = json!({
            "metadata": {
                "name": name,
                "revision": revision,
                "created": revision,
                "finalizers": [],
                "deleting": false,
            },
            "spec": spec,
            "status": null,
        });
        let event = json!({ "deleted": false, "object": object });
        self.events.push((revision, kind.into(), event));
        self.objects.insert((kind.into(), name.into()), object);
        revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.into(), name.into())) {
            self.revision += 1;
            let event = json!({ "deleted": true, "object": object });
            self.events.push((self.revision, kind.into(), event));
        }
    }
}
