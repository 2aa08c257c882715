//! Crashes of a backend server by the requests that it runs.

use std::time::Duration;

use mimosabay_core::name::Name;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::server::{EVENT_INTERVAL_MS, FleetServer, StreamFault};
use crate::reply::Reply;
use crate::server::Call;

/// Interval between two attempts to listen on the address of before the crash, in milliseconds.
const BIND_RETRY_MS: u64 = 20;
/// Time from the start of a stream to a crash in the middle of it, in milliseconds.
const MID_STREAM_MS: u64 = EVENT_INTERVAL_MS * 5 / 2;

/// Which requests crash a server, and how the server ends and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPlan {
    /// Beginning of the bodies of the requests that crash the server.
    pub body_prefix: &'static str,
    /// What other processes observe of the crash.
    pub end: CrashEnd,
    /// Identity of the server after its restart.
    pub restart: RestartId,
    /// Time from the crash to the restart, in milliseconds.
    pub down_ms: u64,
    /// Time from the crash until the store removes the server's entry, in milliseconds.
    pub entry_expiry_ms: u64,
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
}

impl CrashEnd {
    fn is_mid_stream(self) -> bool {
        matches!(self, Self::CloseMidStream | Self::SilenceMidStream)
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
    /// Makes requests with the body of the plan crash the server.
    pub fn crash_on(&self, plan: CrashPlan) {
        self.with_state(|state| state.crash_plan = Some(plan));
    }

    /// Returns the plan if the request crashes this server.
    pub(super) fn crash_plan_for(&self, call: &Call) -> Option<CrashPlan> {
        let plan = self.with_state(|state| state.crash_plan)?;
        call.body
            .starts_with(plan.body_prefix.as_bytes())
            .then_some(plan)
    }

    /// Runs a request that crashes the server.
    pub(super) async fn crash_while_running(&self, plan: CrashPlan, id: &str, after: u64) -> Reply {
        let server = self.clone();
        if plan.end.is_mid_stream() {
            tokio::spawn(async move {
                sleep(Duration::from_millis(MID_STREAM_MS)).await;
                server.crash_and_restart(plan).await;
            });
            return self.stream_response(id, after, StreamFault::None);
        }
        tokio::spawn(async move { server.crash_and_restart(plan).await });
        std::future::pending().await
    }

    async fn crash_and_restart(self, plan: CrashPlan) {
        let was_crashed = self.with_state(|state| std::mem::replace(&mut state.is_crashed, true));
        if was_crashed {
            return;
        }
        let id = self.current_id();
        let start_count = self.with_state(|state| state.start_count);
        match plan.end {
            CrashEnd::Close | CrashEnd::CloseMidStream => self.crash(),
            CrashEnd::Silence | CrashEnd::SilenceMidStream => {
                self.connection_faults.set_silent(true);
            }
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
