//! Callers that send requests over persistent connections, regardless of errors.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mimosabay_http::{Category, Error};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::{SoakMode, SoakOptions, elapsed_ms};
use crate::fleet::{FleetCaller, FleetReply, FleetSite, event_ids, software_versions};

/// Number of adapters that requests name; more than the engines can hold.
const ADAPTERS: u32 = 12;
/// Range of a caller's pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// First part of all prompts that consist of parts.
pub(super) const FIRST_PART: u64 = 0x5c1e_07a2;
/// Second parts of such prompts.
pub(super) const SECOND_PARTS: [u64; 3] = [0x91bd_3f06, 0x91bd_3f07, 0x91bd_3f08];
/// Shared parts of such prompts. Each has a last part of its own.
const PROMPTS: [&[u64]; 3] = [
    &[FIRST_PART, SECOND_PARTS[0]],
    &[FIRST_PART, SECOND_PARTS[1]],
    &[FIRST_PART, SECOND_PARTS[2]],
];
/// Number of callers, beside the others, whose prompts consist of parts.
const PART_CALLERS: u64 = 4;

/// Deadline of each request, in milliseconds.
pub(super) const DEADLINE_MS: u64 = 4_000;

/// Kind of a request. Reports of violations print the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A stream that may be resumed after a failure.
    Draft,
    /// A stream that runs at most once.
    DraftOnce,
    /// A call that runs at most once.
    Booking,
    /// A call that may be retried.
    Lookup,
}

impl RequestKind {
    /// Returns whether the request may run at most once.
    pub(super) fn is_once(self) -> bool {
        matches!(self, Self::DraftOnce | Self::Booking)
    }

    /// Returns whether the answer is a stream.
    pub(super) fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::DraftOnce)
    }
}

/// A request and its result.
#[derive(Debug)]
pub(super) struct SentRequest {
    /// Request id, unique in a soak.
    pub(super) id: String,
    /// Kind of the request.
    pub(super) kind: RequestKind,
    /// Index of the instance that it was sent to.
    pub(super) instance: usize,
    /// Time from the start of the soak to the sending, in milliseconds.
    pub(super) sent_ms: u64,
    /// Time from the start of the soak to the end of the answer or to the failure, in milliseconds.
    pub(super) ended_ms: u64,
    /// The answer, or the category of the failure.
    pub(super) reply: Result<FleetReply, Category>,
    /// The stream that the request takes up.
    pub(super) taken_up: Option<BrokenStream>,
}

/// A stream that its caller left after its first events.
#[derive(Debug)]
pub(super) struct BrokenStream {
    /// Identifier of the attempt that began it.
    pub(super) began_as: String,
    /// Software versions that wrote the received events.
    pub(super) versions: BTreeSet<String>,
    /// Number of the last event.
    pub(super) last_event: u64,
}

impl SentRequest {
    /// Returns whether the request has a complete answer with a success status.
    pub(super) fn is_answered(&self) -> bool {
        let reply = self.reply.as_ref();
        reply.is_ok_and(|reply| (200..300).contains(&reply.status))
    }

    /// Returns the status of the answer, or the category of the failure.
    pub(super) fn outcome(&self) -> String {
        match &self.reply {
            Ok(reply) => reply.status.to_string(),
            Err(category) => format!("{category:?}"),
        }
    }
}

/// Running callers.
pub(super) struct Load {
    is_stopping: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<SentRequest>>>,
}

impl Load {
    /// Starts the callers.
    pub(super) fn start(site: &FleetSite, options: &SoakOptions, started: Instant) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let next_number = Arc::new(AtomicU64::new(0));
        let same_prompt_callers = match options.mode {
            SoakMode::Mixed | SoakMode::Planned | SoakMode::Release => options.callers as u64,
            SoakMode::CrashingPart => 0,
        };
        let callers = (0..options.callers as u64 + PART_CALLERS).map(|number| {
            let caller = Caller {
                instances: (0..site.instances.len())
                    .map(|index| site.caller(index).deadline_ms(DEADLINE_MS))
                    .collect(),
                random: StdRng::seed_from_u64(options.seed.wrapping_mul(1_000) + number),
                has_prompts_of_parts: number >= same_prompt_callers,
                takes_streams_up: options.mode.is_release(),
                next_number: next_number.clone(),
                started,
                is_stopping: is_stopping.clone(),
            };
            tokio::spawn(caller.run())
        });
        Self {
            callers: callers.collect(),
            is_stopping,
        }
    }

    /// Waits for the callers to finish and returns all requests.
    pub(super) async fn stop(self) -> Vec<SentRequest> {
        self.is_stopping.store(true, Ordering::Relaxed);
        let mut sent = Vec::new();
        for caller in self.callers {
            sent.extend(caller.await.expect("a caller does not panic"));
        }
        sent
    }
}

struct Caller {
    instances: Vec<FleetCaller>,
    random: StdRng,
    has_prompts_of_parts: bool,
    takes_streams_up: bool,
    next_number: Arc<AtomicU64>,
    started: Instant,
    is_stopping: Arc<AtomicBool>,
}

impl Caller {
    async fn run(mut self) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        while !self.is_stopping.load(Ordering::Relaxed) {
            sent.push(self.send().await);
            let pause_ms = self.random.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        sent
    }

    async fn send(&mut self) -> SentRequest {
        let kind = match self.random.random_range(0..10) {
            0..4 => RequestKind::Draft,
            4..6 => RequestKind::DraftOnce,
            6..8 => RequestKind::Booking,
            _ => RequestKind::Lookup,
        };
        let id = self.next_id();
        let mut instance = self.random.random_range(0..self.instances.len());
        // Two draws make low adapter numbers more frequent than high ones.
        let adapter_count = self.random.random_range(1..=ADAPTERS);
        let adapter = format!("a{}", self.random.random_range(0..adapter_count));
        let mut caller = self.instances[instance].clone();
        if self.has_prompts_of_parts {
            caller = caller.prompt_parts(PROMPTS[self.random.random_range(0..PROMPTS.len())]);
        }
        let mut taken_up = None;
        if self.takes_streams_up && kind == RequestKind::Draft {
            taken_up = self.break_stream(&caller, &adapter).await;
        }
        if let Some(stream) = &taken_up {
            instance = self.random.random_range(0..self.instances.len());
            caller = caller.at_instance_of(&self.instances[instance]);
            caller = caller.taking_up(&stream.began_as, stream.last_event);
        }
        let sent_ms = elapsed_ms(self.started, Instant::now());
        let reply = match kind {
            RequestKind::Draft => caller.generate("/draft/x", &id, &adapter).await,
            RequestKind::DraftOnce => caller.generate("/once/x", &id, &adapter).await,
            RequestKind::Booking => caller.post("/book/x", &id, "a booking").await,
            RequestKind::Lookup => caller.get("/look/x", &id).await,
        };
        SentRequest {
            id,
            kind,
            instance,
            sent_ms,
            ended_ms: elapsed_ms(self.started, Instant::now()),
            reply: reply.map_err(|cause: Error| cause.classify()),
            taken_up,
        }
    }

    /// Opens a stream and leaves it after its first event, if there is one.
    async fn break_stream(&self, caller: &FleetCaller, adapter: &str) -> Option<BrokenStream> {
        let began_as = self.next_id();
        let stream = caller.open_stream("/draft/x", &began_as, adapter).await;
        let mut stream = stream.ok().filter(|stream| stream.status == 200)?;
        let event = stream.read_first_event().await;
        let last_event = event_ids(&event).last().copied()?;
        Some(BrokenStream {
            began_as,
            versions: software_versions(&event),
            last_event,
        })
    }

    fn next_id(&self) -> String {
        format!("soak-{}", self.next_number.fetch_add(1, Ordering::Relaxed))
    }
}
