//! Choice of a server for an attempt at a plain service, within the limits that servers state.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::backend::Backend;
use mimosabay_core::cell::{PermitRequest, PermitResponse, Ticket};
use mimosabay_core::name::Name;
use tokio::time::sleep;

use super::request::Job;
use super::state::State;

/// A request may wait for a server with a limit for the time left divided by this.
const MAX_WAIT_DIVISOR: u64 = 2;
/// Time between two checks of this instance's share of the limits while there is no placer, in
/// milliseconds.
const SHARE_CHECK_PERIOD_MS: u64 = 50;
/// Retry delay for a caller whose request no server may be sent while there is no placer, in
/// milliseconds.
const NO_PLACER_RETRY_MS: u64 = 500;

/// Why no server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoServer {
    /// The request has come under quarantine while it waited.
    Quarantined,
    /// None is ready.
    Unavailable,
    /// All that are ready receive as many requests as they allow, or want none for some time.
    OverLimit {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Servers among which one is chosen.
pub(super) struct Candidates<'a> {
    pub(super) state: &'a State,
    pub(super) job: &'a Job,
    /// Whether the request is under quarantine and is run once nevertheless.
    pub(super) is_trial: bool,
    /// Servers that failed an attempt; they are the last choice.
    pub(super) excluded: &'a [Name],
    /// A server that is not chosen, because it has the request already.
    pub(super) silent: Option<&'a Name>,
}

impl Candidates<'_> {
    /// Chooses a server and counts the request there. Waits for a server with a limit if no other one
    /// is ready.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub(super) async fn choose(&self) -> Result<Arc<Backend>, NoServer> {
        loop {
            let left_ms = self.job.remaining_ms(self.state);
            let chosen = self.choose_within(left_ms / MAX_WAIT_DIVISOR).await?;
            if self.is_refused() {
                return Err(NoServer::Quarantined);
            }
            if self.is_still_ready(&chosen) {
                return Ok(self.count(chosen));
            }
        }
    }

    /// Chooses a server that may be sent the request now, and counts the request there.
    pub(super) async fn choose_now(&self) -> Option<Arc<Backend>> {
        let chosen = self.choose_within(0).await.ok();
        let chosen = chosen.filter(|chosen| self.is_still_ready(chosen));
        chosen.map(|chosen| self.count(chosen))
    }

    fn is_refused(&self) -> bool {
        let work = self.job.work(None);
        !self.is_trial && self.state.suspects.refused_by(&work).is_some()
    }

    /// Whether a server has not begun to leave during a wait.
    fn is_still_ready(&self, chosen: &Backend) -> bool {
        let current = self.state.backend(&chosen.id);
        current.is_some_and(|it| {
            it.is_ready()
                && it.started_unix_ms == chosen.started_unix_ms
                && !self.state.server_pauses.is_paused(&it)
        })
    }

    async fn choose_within(&self, max_wait_ms: u64) -> Result<Arc<Backend>, NoServer> {
        let ranked = self.ranked();
        let limits = &self.state.server_limits;
        let limited = ranked.iter().take_while(|it| limits.is_limited(it));
        let (limited, others) = ranked.split_at(limited.count());
        let alternative = others.first();
        if limited.is_empty() {
            let best = alternative.ok_or_else(|| self.no_server())?;
            return Ok(best.clone());
        }
        let max_wait_ms = if alternative.is_some() {
            0
        } else {
            max_wait_ms
        };
        match self.permit(limited, max_wait_ms).await {
            Ok(server) => Ok(server.clone()),
            Err(retry_after_ms) => alternative
                .cloned()
                .ok_or(NoServer::OverLimit { retry_after_ms }),
        }
    }

    /// Requests a permit for one of several servers with a limit.
    ///
    /// # Errors
    ///
    /// The time after which the caller may retry, in milliseconds.
    async fn permit<'b>(
        &self,
        limited: &'b [Arc<Backend>],
        max_wait_ms: u64,
    ) -> Result<&'b Arc<Backend>, u64> {
        let candidates = limited.iter();
        let request = PermitRequest {
            ticket: Ticket {
                entry: self.state.incarnation,
                number: self.state.next_request_number(),
            },
            candidates: candidates
                .map(|it| (it.id.clone(), it.started_unix_ms))
                .collect(),
            urgency: self.job.urgency(),
            max_wait_ms,
        };
        let response = self.state.link.request_permit(self.state, request).await;
        match response {
            Some(PermitResponse::Granted { server }) => {
                let mut limited = limited.iter();
                limited
                    .find(|backend| backend.id == server)
                    .ok_or(NO_PLACER_RETRY_MS)
            }
            Some(PermitResponse::Refused { retry_after_ms }) => Err(retry_after_ms),
            None => self.take_own_share(limited, max_wait_ms).await,
        }
    }

    /// Takes a request from this instance's share of the limits.
    async fn take_own_share<'b>(
        &self,
        limited: &'b [Arc<Backend>],
        max_wait_ms: u64,
    ) -> Result<&'b Arc<Backend>, u64> {
        let until_ms = self.state.now_ms() + max_wait_ms;
        let limits = &self.state.server_limits;
        loop {
            if let Some(backend) = limited.iter().find(|backend| limits.try_take(backend)) {
                return Ok(backend);
            }
            if self.state.now_ms() >= until_ms {
                return Err(NO_PLACER_RETRY_MS);
            }
            sleep(Duration::from_millis(SHARE_CHECK_PERIOD_MS)).await;
        }
    }

    /// Why no server is ready. If some pause, the caller may retry after the shortest pause.
    fn no_server(&self) -> NoServer {
        let snapshot = self.state.backends.snapshot();
        let servers = snapshot.values();
        let ready = servers.filter(|it| it.service == self.job.service.name && it.is_ready());
        let pauses_ms = ready.map(|it| self.state.server_pauses.left_ms(it));
        match pauses_ms.filter(|left_ms| *left_ms > 0).min() {
            Some(retry_after_ms) => NoServer::OverLimit { retry_after_ms },
            None => NoServer::Unavailable,
        }
    }

    /// Returns the servers that are ready, the best one first.
    fn ranked(&self) -> Vec<Arc<Backend>> {
        let snapshot = self.state.backends.snapshot();
        let servers = snapshot.values().map(|backend| &**backend);
        let servers = servers.filter(|backend| {
            backend.service == self.job.service.name
                && Some(&backend.id) != self.silent
                && self.job.may_run_at(self.state, backend)
                && !self.state.server_pauses.is_paused(backend)
        });
        let zone = &self.state.settings().zone;
        let plain = self.state.plain.lock().expect("plain lock");
        let ranked = plain.rank(servers, zone, self.excluded, self.state.now_ms());
        drop(plain);
        let backends = ranked.iter().filter_map(|id| snapshot.get(id));
        backends.cloned().collect()
    }

    fn count(&self, backend: Arc<Backend>) -> Arc<Backend> {
        let mut plain = self.state.plain.lock().expect("plain lock");
        plain.count_request(&backend.id);
        backend
    }
}
