//! Concurrent callers behind a balancer, and what each call came to.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::caller::{Caller, Failure};
use super::wait::wait_for;
use crate::clock::unix_ms;
use crate::text;

/// Time between two looks of the balancer at an instance.
const PROBE_INTERVAL_MS: u64 = 50;
/// Time that an instance has to answer a look.
const PROBE_TIMEOUT_MS: u64 = 300;
/// Pause of a caller without a ready instance.
const NO_INSTANCE_PAUSE_MS: u64 = 20;

/// Sends each call to the next instance that is ready. Cloning it shares the state.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Addresses of the instances and whether each was ready at the last look.
    ready: Mutex<BTreeMap<String, bool>>,
    next_index: AtomicUsize,
}

/// What callers ask for.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// First word of all prompts, unique among the loads of a test.
    pub label: &'static str,
    /// Callers, each with one call at a time.
    pub callers: usize,
    /// Key of all callers.
    pub key: &'static str,
    /// Models to ask for by turns, and the source of the weights that each stands for.
    pub models: Vec<(&'static str, &'static str)>,
    /// Tokens of each answer.
    pub max_tokens: u64,
}

/// A generation to ask for.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Model as a caller names it.
    pub model: &'static str,
    /// Source of the weights that it stands for.
    pub source: &'static str,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub max_tokens: u64,
}

/// What one call came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer was whole and right.
    Complete,
    /// The answer said that it was whole and was not the right one.
    Wrong(String),
    /// The system refused it.
    Refused {
        /// Code of the error.
        code: String,
        /// Whether it ran, by the error.
        ran: String,
        /// Whether the error says when a repeat is worth trying.
        has_retry_after: bool,
        /// Whether the text before it was the beginning of the right answer.
        prefix_right: bool,
    },
    /// The connection broke.
    Broken {
        /// How.
        cause: String,
        /// Whether the text before it was the beginning of the right answer.
        prefix_right: bool,
    },
}

/// One call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its prompt, unique among the calls of a load.
    pub prompt: String,
    /// Source of the weights that it has to run on.
    pub source: &'static str,
    /// Address of the instance that it was sent to.
    pub address: String,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// What it came to.
    pub outcome: CallOutcome,
}

/// Callers at work. Dropping it stops them.
#[derive(Debug)]
pub struct Load {
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    records: Arc<Mutex<Vec<CallRecord>>>,
}

struct LoadCaller {
    index: usize,
    options: LoadOptions,
    balancer: Balancer,
    records: Arc<Mutex<Vec<CallRecord>>>,
}

impl Balancer {
    /// Adds an instance and looks at it from now on.
    pub fn add_instance(&self, address: &str) {
        self.lock_ready().insert(address.to_owned(), false);
        let (balancer, address) = (self.clone(), address.to_owned());
        tokio::spawn(async move {
            while Arc::strong_count(&balancer.shared) > 1 {
                let is_ready = is_ready(&address).await;
                balancer.lock_ready().insert(address.clone(), is_ready);
                sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            }
        });
    }

    /// The next ready instance.
    pub fn next_instance(&self) -> Option<String> {
        let ready = self.lock_ready();
        let addresses: Vec<&String> = ready
            .iter()
            .filter_map(|(address, is_ready)| is_ready.then_some(address))
            .collect();
        let next_index = self.shared.next_index.fetch_add(1, Ordering::Relaxed);
        let index = next_index.checked_rem(addresses.len())?;
        Some(addresses[index].clone())
    }

    fn lock_ready(&self) -> MutexGuard<'_, BTreeMap<String, bool>> {
        let ready = self.shared.ready.lock();
        ready.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            label: "load",
            callers: 12,
            key: super::CLINICS_KEY,
            models: vec![
                ("tender", "store://tender/2"),
                ("tender@1", "store://tender/1"),
                ("reorder", "store://reorder/1"),
            ],
            max_tokens: 20,
        }
    }
}

impl Load {
    /// Starts the callers.
    pub fn start(balancer: &Balancer, options: &LoadOptions) -> Self {
        let (stop, stopped) = watch::channel(false);
        let records: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
        let mut callers = JoinSet::new();
        for index in 0..options.callers {
            let caller = LoadCaller {
                index,
                options: options.clone(),
                balancer: balancer.clone(),
                records: records.clone(),
            };
            callers.spawn(caller.run(stopped.clone()));
        }
        Self {
            stop,
            callers,
            records,
        }
    }

    /// Number of calls that have ended.
    pub fn ended_calls(&self) -> usize {
        lock_records(&self.records).len()
    }

    /// Waits until `count` more calls have ended.
    ///
    /// # Panics
    ///
    /// After 30 s.
    pub async fn wait_for_calls(&self, count: usize) {
        let before = lock_records(&self.records).len();
        wait_for("calls of the load", async || {
            let ended = lock_records(&self.records).len();
            (ended >= before + count).then_some(())
        })
        .await;
    }

    /// Lets the open calls end and returns all.
    pub async fn stop(mut self) -> Vec<CallRecord> {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
        std::mem::take(&mut *lock_records(&self.records))
    }
}

impl LoadCaller {
    async fn run(self, stopped: watch::Receiver<bool>) {
        for count in 0.. {
            if *stopped.borrow() {
                return;
            }
            let Some(address) = self.balancer.next_instance() else {
                sleep(Duration::from_millis(NO_INSTANCE_PAUSE_MS)).await;
                continue;
            };
            self.send_call(count, address).await;
        }
    }

    async fn send_call(&self, count: usize, address: String) {
        let models = &self.options.models;
        let (model, source) = models[(self.index + count) % models.len()];
        let request = GenerationRequest {
            model,
            source,
            prompt: format!(
                "{} order {count} of caller {}",
                self.options.label, self.index
            ),
            max_tokens: self.options.max_tokens,
        };
        let is_streamed = count.is_multiple_of(2);
        let record = request.send(address, self.options.key, is_streamed).await;
        lock_records(&self.records).push(record);
    }
}

impl GenerationRequest {
    /// Sends the call to the instance at `address` and waits for its end.
    pub async fn send(self, address: String, key: &str, is_streamed: bool) -> CallRecord {
        let caller = Caller::new(&address).key(key);
        let sent_ms = unix_ms();
        let result = if is_streamed {
            caller
                .stream(self.model, &self.prompt, self.max_tokens)
                .await
        } else {
            let reply = caller.complete(self.model, &self.prompt, self.max_tokens);
            reply.await.and_then(super::Reply::into_text)
        };
        let expected = text::answer(self.source, &self.prompt, self.max_tokens);
        CallRecord {
            prompt: self.prompt,
            source: self.source,
            address,
            sent_ms,
            ended_ms: unix_ms(),
            outcome: call_outcome(result, &expected),
        }
    }
}

fn call_outcome(result: Result<String, Failure>, expected: &str) -> CallOutcome {
    match result {
        Ok(text) if text == expected => CallOutcome::Complete,
        Ok(text) => CallOutcome::Wrong(text),
        Err(failure) if failure.error.is_null() => CallOutcome::Broken {
            prefix_right: expected.starts_with(&failure.text),
            cause: failure.cause,
        },
        Err(failure) => CallOutcome::Refused {
            code: failure.code().to_owned(),
            ran: failure.ran().to_owned(),
            has_retry_after: failure.error["retry_after_ms"].is_u64(),
            prefix_right: expected.starts_with(&failure.text),
        },
    }
}

async fn is_ready(address: &str) -> bool {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let caller = Caller::new(address);
    let answer = tokio::time::timeout(limit, caller.get("/readyz")).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200))
}

fn lock_records(records: &Mutex<Vec<CallRecord>>) -> MutexGuard<'_, Vec<CallRecord>> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}
