//! Simulates the platform's object store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use mimosabay_core::name::Name;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::store_tables::{self, HeldWrite, Tables, Write};
use crate::reply::{self, Body, Closed, Reply};
use crate::server::{self, Call, ConnectionFaults, Service};
use crate::target::ODD_BYTE;

/// Number of objects on one page of a list, unless it is set.
const PAGE_SIZE: usize = 20;
/// Stands for the content of an entry of another writer.
const ODD_ENTRY: &str = "odd entry";

/// An object store. Clones share its state.
#[derive(Clone, Debug)]
pub struct FleetStore {
    tables: Arc<Mutex<Tables>>,
    revision_sender: Arc<watch::Sender<u64>>,
    connection_faults: ConnectionFaults,
}

/// Content of a store at one time, from which it can come back.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    pub(super) revision: u64,
    pub(super) objects: BTreeMap<(Name, Name), Value>,
    pub(super) events: Vec<(u64, Name, Value)>,
}

/// What becomes of watches that wait while the store comes back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingWatches {
    /// Their connections are closed.
    Cut,
    /// They go on, and hear of changes with a larger revision only.
    Kept,
}

/// Objects that the operator and the servers had written after the copy was made; `None` for those
/// that they had removed.
#[derive(Clone, Debug, Default)]
pub struct LostWrites(pub(super) Vec<((Name, Name), Option<Value>)>);

impl FleetStore {
    /// Starts serving an empty store on a listener.
    pub fn start(listener: TcpListener) -> Self {
        let tables = Tables::new(PAGE_SIZE);
        let store = Self {
            tables: Arc::new(Mutex::new(tables)),
            revision_sender: Arc::new(watch::Sender::new(1)),
            connection_faults: ConnectionFaults::default(),
        };
        tokio::spawn(server::serve(listener, store.clone()));
        store
    }

    /// Creates or replaces an object without a precondition; returns the new revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        self.with_tables(|tables| tables.write(kind, name, spec))
    }

    /// Removes an object, if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        self.with_tables(|tables| tables.remove(kind, name));
    }

    /// Evacuates an availability zone, or takes it back.
    pub fn evacuate(&self, zone: &str, is_evacuated: bool) {
        if is_evacuated {
            self.put("evacuations", zone, &json!({}));
        } else {
            self.remove("evacuations", zone);
        }
    }

    /// Returns the `spec` of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let tables = self.tables.lock().expect("store lock");
        let object = tables.objects.get(&(kind.into(), name.into()))?;
        Some(object["spec"].clone())
    }

    /// Sets whether every request is answered with 503.
    pub fn set_down(&self, is_down: bool) {
        self.with_tables(|tables| tables.is_down = is_down);
    }

    /// Applies the next `count` writes without answering them.
    pub fn lose_answers(&self, count: u32) {
        self.with_tables(|tables| tables.responses_to_drop = count);
    }

    /// Sets whether calls that change objects get no answer and are kept, to be executed late.
    pub fn set_writes_held(&self, are_held: bool) {
        self.with_tables(|tables| tables.are_writes_held = are_held);
    }

    /// Returns the number of kept calls that remove an object of a kind.
    pub fn held_removals(&self, kind: &str) -> usize {
        let tables = self.tables.lock().expect("store lock");
        tables.held_removals(kind)
    }

    /// Sets the kind whose objects are not replaced: the answers say so, and bring the object as it is.
    pub fn ignore_replacements(&self, kind: Option<&str>) {
        self.with_tables(|tables| tables.unchanging_kind = kind.map(Name::from));
    }

    /// Sets the time from the execution of a call that changes an object to its answer.
    pub fn delay_write_answers(&self, delay: Duration) {
        self.with_tables(|tables| tables.write_delay = delay);
    }

    /// Executes the calls that were kept, each if its condition still holds. Returns what became of them, in
    /// the order of the calls.
    pub fn execute_held_writes(&self) -> Vec<HeldWrite> {
        self.with_tables(Tables::execute_held)
    }

    /// Sets how many calls that change objects the store accepts in a second. Further ones get 429.
    pub fn limit_writes(&self, per_s: usize) {
        self.with_tables(|tables| tables.write_rate.set_limit(per_s));
    }

    /// Compacts the history: watches from earlier revisions are answered with 410.
    pub fn compact(&self) {
        self.with_tables(|tables| tables.compacted_revision = tables.revision);
    }

    /// Returns a copy of the store's content.
    pub fn copy(&self) -> StoreCopy {
        let tables = self.tables.lock().expect("store lock");
        StoreCopy {
            revision: tables.revision,
            objects: tables.objects.clone(),
            events: tables.events.clone(),
        }
    }

    /// Replaces the content by an older copy: revisions continue from that of the copy, and the era
    /// rises. Returns what the operator and the servers have to write again.
    pub fn come_back_from(&self, copy: &StoreCopy, watches: WaitingWatches) -> LostWrites {
        let mut tables = self.tables.lock().expect("store lock");
        let lost = tables.writes_since(copy);
        tables.era += 1;
        tables.revision = copy.revision;
        tables.objects.clone_from(&copy.objects);
        tables.events.clone_from(&copy.events);
        if watches == WaitingWatches::Cut {
            tables.cut_count += 1;
        }
        let revision = tables.revision;
        drop(tables);
        self.revision_sender.send_replace(revision);
        lost
    }

    /// Writes again what the operator and the servers had written.
    pub fn write_again(&self, lost: LostWrites) {
        self.with_tables(|tables| {
            for ((kind, name), spec) in lost.0 {
                match spec {
                    Some(spec) => drop(tables.write(&kind, &name, &spec)),
                    None => tables.remove(&kind, &name),
                }
            }
        });
    }

    /// Sets what the answers state as the store's era; an empty text for no header.
    pub fn state_era(&self, text: &str) {
        self.with_tables(|tables| tables.stated_era = Some(text.into()));
    }

    /// Adds an entry of another writer to a kind. Its content is sent as it is; a replacement character in
    /// its name or content is sent as a byte that is no UTF-8. All such entries have the same content.
    pub fn set_odd_entry(&self, kind: &str, name: &str, spec: &str) {
        self.put(kind, name, &json!(ODD_ENTRY));
        self.with_tables(|tables| tables.odd_entry = Some(spec.into()));
    }

    /// Sets the number of objects on one page of a list.
    pub fn set_page_size(&self, page_size: usize) {
        self.with_tables(|tables| tables.page_size = page_size);
    }

    /// Sets the kind whose lists have the first page again and again.
    pub fn repeat_first_page(&self, kind: Option<&str>) {
        self.with_tables(|tables| tables.repeated_kind = kind.map(Name::from));
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.tables.lock().expect("store lock").revision
    }

    /// Returns the number of reads received over HTTP so far, watches included.
    pub fn read_count(&self) -> u64 {
        self.tables.lock().expect("store lock").read_count
    }

    /// Silences every open connection permanently; new connections work.
    pub fn silence_open_connections(&self) {
        self.connection_faults.silence_open();
    }

    /// Sets whether open and new connections are silent. Connections silenced once stay silent.
    pub fn set_silent(&self, is_silent: bool) {
        self.connection_faults.set_silent(is_silent);
    }

    /// Returns the number of writes received over HTTP so far.
    pub fn write_count(&self) -> u64 {
        self.tables.lock().expect("store lock").write_count
    }

    /// Returns the number of watches of a kind of object so far.
    pub fn watch_count(&self, kind: &str) -> u64 {
        let tables = self.tables.lock().expect("store lock");
        tables.watch_counts.get(kind).copied().unwrap_or_default()
    }

    fn count_watch(&self, kind: &str) {
        let mut tables = self.tables.lock().expect("store lock");
        *tables.watch_counts.entry(kind.into()).or_default() += 1;
    }

    fn with_tables<T>(&self, act: impl FnOnce(&mut Tables) -> T) -> T {
        let mut tables = self.tables.lock().expect("store lock");
        let result = act(&mut tables);
        let revision = tables.revision;
        drop(tables);
        self.revision_sender.send_replace(revision);
        result
    }

    async fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Reply {
        let mut revisions = self.revision_sender.subscribe();
        let cut_count = {
            let tables = self.tables.lock().expect("store lock");
            if since > tables.revision {
                return reply::error(StatusCode::GONE, "no such revision");
            }
            tables.cut_count
        };
        let first_change = async {
            loop {
                revisions.borrow_and_update();
                if self.tables.lock().expect("store lock").cut_count != cut_count {
                    return Err(Closed);
                }
                if let Some(response) = self.watch_response(kind, since, false) {
                    return response;
                }
                if revisions.changed().await.is_err() {
                    return Err(Closed);
                }
            }
        };
        match timeout(Duration::from_millis(wait_ms), first_change).await {
            Ok(response) => response,
            Err(_) => self
                .watch_response(kind, since, true)
                .unwrap_or(Err(Closed)),
        }
    }

    /// Returns the response to a watch; `None` if there are no changes yet.
    fn watch_response(&self, kind: &str, since: u64, may_be_empty: bool) -> Option<Reply> {
        let tables = self.tables.lock().expect("store lock");
        if tables.is_down {
            return Some(reply::error(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        if since < tables.compacted_revision {
            return Some(reply::error(
                StatusCode::GONE,
                "history before this revision was compacted",
            ));
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

    async fn handle_write(&self, call: &Call, kind: &str, name: Option<&str>) -> Reply {
        let write = match Write::of_call(call, kind, name) {
            Ok(write) => write,
            Err(message) => return reply::error(StatusCode::BAD_REQUEST, message),
        };
        let (answer, delay) =
            self.with_tables(|tables| (tables.receive(write), tables.write_delay));
        sleep(delay).await;
        answer
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Reply {
        let tables = self.tables.lock().expect("store lock");
        let is_repeated = tables.repeated_kind.as_deref() == Some(kind);
        let after = after.filter(|_| !is_repeated);
        let objects = tables.objects.iter();
        let mut names = objects
            .filter(|((of, name), _)| &**of == kind && after.is_none_or(|after| &**name > after));
        let items: Vec<&Value> = names
            .by_ref()
            .take(tables.page_size)
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
    fn connection_faults(&self) -> &ConnectionFaults {
        &self.connection_faults
    }

    async fn handle(&self, call: Call) -> Reply {
        let mut response = self.answer(call).await?;
        response = self.with_odd_entries(response).await?;
        if let Some(era) = self.stated_era() {
            response.headers_mut().insert("store-era", era);
        }
        Ok(response)
    }
}

impl FleetStore {
    /// Puts the content of the odd entries and bytes that are no UTF-8 in their places.
    async fn with_odd_entries(&self, response: http::Response<Body>) -> Reply {
        let odd_entry = self.tables.lock().expect("store lock").odd_entry.clone();
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        let mut text = String::from_utf8_lossy(&body).into_owned();
        if let Some(spec) = odd_entry {
            text = text.replace(&format!("\"{ODD_ENTRY}\""), &spec);
        }
        let parts_between: Vec<&[u8]> = text.split(ODD_BYTE).map(str::as_bytes).collect();
        let body = Full::new(Bytes::from(parts_between.join(&0xff)));
        let body = body.map_err(|never| match never {});
        Ok(http::Response::from_parts(parts, body.boxed()))
    }

    fn stated_era(&self) -> Option<HeaderValue> {
        let tables = self.tables.lock().expect("store lock");
        match &tables.stated_era {
            Some(text) if text.is_empty() => None,
            Some(text) => HeaderValue::from_str(text).ok(),
            None => Some(HeaderValue::from(tables.era)),
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        let segments = call.segments();
        let (kind, name) = match segments.as_slice() {
            ["api", "objects", kind] => (*kind, None),
            ["api", "objects", kind, name] => (*kind, Some(*name)),
            [] => return reply::error(StatusCode::BAD_REQUEST, "no URL"),
            _ => return reply::error(StatusCode::NOT_FOUND, "no such path"),
        };
        if self.tables.lock().expect("store lock").is_down {
            return reply::error(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        if call.method != Method::GET {
            return self.handle_write(&call, kind, name).await;
        }
        if !self.tables.lock().expect("store lock").admit_read() {
            return store_tables::too_many_calls();
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
