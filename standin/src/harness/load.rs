//! Concurrent callers that request generations through a balancer and record each outcome.

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

/// Interval between readiness probes of an instance.
const PROBE_INTERVAL_MS: u64 = 50;
/// Timeout of a readiness probe.
const PROBE_TIMEOUT_MS: u64 = 300;
/// Delay of a caller while no instance is ready.
const NO_INSTANCE_PAUSE_MS: u64 = 20;

/// Chooses among the ready instances in rotation. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Addresses of the instances and whether each was ready at its last probe.
    ready: Mutex<BTreeMap<String, bool>>,
    next_index: AtomicUsize,
}

/// Options of a [`Load`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// First word of all prompts, unique among the loads of a test.
    pub label: &'static str,
    /// Number of callers; each has one open call at a time.
    pub callers: usize,
    /// API key of all callers.
    pub key: &'static str,
    /// Models to request in rotation, each with the source of its weights.
    pub models: Vec<(&'static str, &'static str)>,
    /// Maximum number of tokens of each answer.
    pub max_tokens: u64,
}

/// A generation to request.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Model name that the caller sends.
    pub model: &'static str,
    /// Source of the model's weights.
    pub source: &'static str,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
}

/// Outcome of one call. Reports of violations print the names of variants and fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer was complete and correct.
    Complete,
    /// The answer ended as a complete one but its text, given here, was incorrect.
    Wrong(String),
    /// An instance returned an error.
    Refused {
        /// The error's `code`.
        code: String,
        /// The error's `ran`: whether the request ran.
        ran: String,
        /// Whether the error has `retry_after_ms`.
        has_retry_after: bool,
        /// Whether the text received before was a prefix of the correct answer.
        prefix_right: bool,
    },
    /// The connection broke.
    Broken {
        /// Description of the failure.
        cause: String,
        /// Whether the text received before was a prefix of the correct answer.
        prefix_right: bool,
    },
}

/// Record of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Prompt, unique among the calls of a load.
    pub prompt: String,
    /// Source of the weights that the call has to run on.
    pub source: &'static str,
    /// Address of the instance that the call was sent to.
    pub address: String,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// Running callers. Dropping it aborts them.
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
    /// Adds an instance and starts its readiness probes.
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

    /// Returns the address of the next ready instance, `None` if there is none.
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

    /// Returns the number of calls that have ended.
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

    /// Waits for the open calls to end and returns all records.
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
    /// Sends the request to the instance at `address` and waits until the call has ended.
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
        let expected = text::generate_text(self.source, &self.prompt, self.max_tokens);
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
