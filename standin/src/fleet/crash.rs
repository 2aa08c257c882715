//! Crashes of a backend server by the requests that it runs.

use std::time::{Duration, Instant};

use mimosabay_core::name::Name;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::behaviour::StreamFault;
use super::framing::{Framing, cut_inside_piece};
use super::prompt_part::has_part;
use super::server::{EVENT_INTERVAL_MS, FleetServer};
use crate::reply::Reply;
use crate::server::Call;

/// Interval between two attempts to listen on the address of before the crash, in milliseconds.
const BIND_RETRY_MS: u64 = 20;
/// Time from the start of a stream to a crash in the middle of it, in milliseconds.
const MID_STREAM_MS: u64 = EVENT_INTERVAL_MS * 5 / 2;

/// Which requests crash a server, and how the server ends and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPlan {
    /// Requests that crash the server.
    pub trigger: CrashTrigger,
    /// What other processes observe of the crash.
    pub end: CrashEnd,
    /// Identity of the server after its restart.
    pub restart: RestartId,
    /// Time from the crash to the restart, in milliseconds.
    pub down_ms: u64,
    /// Time from the crash until the store removes the server's entry, in milliseconds.
    pub entry_expiry_ms: u64,
}

/// Requests that crash a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashTrigger {
    /// Those whose body begins so.
    BodyPrefix(&'static str),
    /// Those whose prompt has one of these parts, by identifier.
    PromptPart(&'static [u64]),
}

/// What other processes observe when a server crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEnd {
    /// All connections are closed, and new ones are refused.
    Close,
    /// As [`CrashEnd::Close`], after the first events of the stream were sent.
    CloseMidStream,
    /// Open and new connections stay silent.
    Silence,
    /// As [`CrashEnd::Silence`], after the first events of the stream were sent.
    SilenceMidStream,
    /// As the server begins to write the answer.
    AtAnswer {
        /// What it has written by then.
        start: AnswerStart,
        /// What becomes of its connections.
        connections: ConnectionEnd,
    },
}

/// The beginning of an answer that a server writes before it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStart {
    /// The head.
    Head,
    /// The head and half of the first event.
    HalfEvent,
}

/// What becomes of the connections of a server that crashes as it begins an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// They are closed before the last chunk of the answer, and new ones are refused.
    Broken,
    /// The same, but the answer has neither a length nor chunks.
    InOrder,
    /// Open and new connections stay silent.
    Silent,
}

impl CrashEnd {
    /// Returns whether connections stay open and silent.
    pub fn is_silent(self) -> bool {
        match self {
            Self::Close | Self::CloseMidStream => false,
            Self::Silence | Self::SilenceMidStream => true,
            Self::AtAnswer { connections, .. } => connections == ConnectionEnd::Silent,
        }
    }
}

/// Identity of a server after its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartId {
    /// The name of before, with a later start time.
    Same,
    /// A new name.
    New,
}

impl FleetServer {
    /// Makes the requests of the plan crash the server.
    pub fn crash_on(&self, plan: CrashPlan) {
        self.with_state(|state| state.crash_plan = Some(plan));
    }

    /// Answers the requests of the plan like others, or lets them crash the server again.
    pub fn suspend_crashes(&self, is_suspended: bool) {
        self.with_state(|state| state.is_plan_suspended = is_suspended);
    }

    /// Returns the times of the crashes so far, oldest first.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.with_state(|state| state.crash_times.clone())
    }

    /// Returns the plan if the request crashes this server.
    pub(super) fn crash_plan_for(&self, call: &Call) -> Option<CrashPlan> {
        let is_suspended = self.with_state(|state| state.is_plan_suspended);
        let plan = self.with_state(|state| state.crash_plan)?;
        let is_meant = match plan.trigger {
            CrashTrigger::BodyPrefix(prefix) => call.body.starts_with(prefix.as_bytes()),
            CrashTrigger::PromptPart(ids) => has_prompt_part(call, ids),
        };
        (is_meant && !is_suspended).then_some(plan)
    }

    /// Runs a request that crashes the server.
    pub(super) async fn crash_while_running(&self, plan: CrashPlan, id: &str, after: u64) -> Reply {
        let server = self.clone();
        match plan.end {
            CrashEnd::Close | CrashEnd::Silence => {
                tokio::spawn(server.crash_and_restart(plan));
                std::future::pending().await
            }
            CrashEnd::CloseMidStream | CrashEnd::SilenceMidStream => {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(MID_STREAM_MS)).await;
                    server.crash_and_restart(plan).await;
                });
                self.stream_response(id, after, StreamFault::None)
            }
            CrashEnd::AtAnswer { start, connections } => {
                let crash = async move {
                    sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
                    tokio::spawn(server.crash_and_restart(plan));
                    std::future::pending::<()>().await;
                };
                let pieces = match start {
                    AnswerStart::Head => Vec::new(),
                    AnswerStart::HalfEvent => cut_inside_piece(self.answer_pieces(after), 0),
                };
                let framing = match connections {
                    ConnectionEnd::Broken | ConnectionEnd::Silent => Framing::Chunked,
                    ConnectionEnd::InOrder => Framing::UntilClose,
                };
                self.piecewise_response(id, pieces, framing, crash)
            }
        }
    }

    async fn crash_and_restart(self, plan: CrashPlan) {
        let was_crashed = self.with_state(|state| std::mem::replace(&mut state.is_crashed, true));
        if was_crashed {
            return;
        }
        self.with_state(|state| state.crash_times.push(Instant::now()));
        let id = self.current_id();
        let start_count = self.with_state(|state| state.start_count);
        if plan.end.is_silent() {
            self.connection_faults.set_silent(true);
        } else {
            self.crash();
        }
        tokio::spawn(self.clone().expire_entry(plan, id, start_count));
        sleep(Duration::from_millis(plan.down_ms)).await;
        self.restart_after_crash(plan).await;
    }

    /// Removes the entry of a crashed server, unless the server has registered under the same name
    /// again.
    async fn expire_entry(self, plan: CrashPlan, id: Name, start_count: u64) {
        sleep(Duration::from_millis(plan.entry_expiry_ms)).await;
        let has_restarted = self.with_state(|state| state.start_count) != start_count;
        if !(has_restarted && self.current_id() == id) {
            self.store.remove("servers", &id);
        }
    }

    async fn restart_after_crash(&self, plan: CrashPlan) {
        self.crash();
        self.connection_faults.set_silent(false);
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(BIND_RETRY_MS)).await,
            }
        };
        self.with_state(|state| {
            state.clear();
            state.is_crashed = false;
            if plan.restart == RestartId::New {
                let name = format!("{}-start-{}", self.id, state.start_count);
                state.restarted_id = Some(name.into());
            }
        });
        self.serve(listener);
        self.register("ready");
    }
}

fn has_prompt_part(call: &Call, ids: &[u64]) -> bool {
    let prompt = call.header("x-prompt-prefix");
    ids.iter().any(|id| has_part(prompt, *id))
}
