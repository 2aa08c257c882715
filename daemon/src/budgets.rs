//! Token budgets of organisations and the budget of adapter loads, shared between instances.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosabay_core::budget::{BudgetPolicy, BudgetSettings, Budgets, Charge, Limit, Ticket};
use mimosabay_core::config::ConfigTable;
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::request::{Code, Ran, Refusal, Request, Usage, Work};
use mimosabay_core::resource::{Kind, Spec};
use mimosabay_operator::BudgetPolicy as PolicySetting;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::budget_messages;
use crate::instance::Instance;

/// Time between two ticks of the budgets.
const TICK_MS: u64 = 25;
/// Longest wait of a request for its tokens. It covers the time until shares lent to a terminated
/// coordinator return to their lenders.
const MAX_WAIT_MS: u64 = 3_000;
/// Divisor of the remaining time that gives the longest wait for tokens.
const WAIT_DIVISOR: u64 = 2;
/// Time between reading the clock and the charge from which the process counts as paused.
const PAUSE_THRESHOLD_MS: u64 = 10;
/// Longest wait of an adapter load for the weight store.
const MAX_LOAD_WAIT_MS: u64 = 10_000;
/// Name of the budget of adapter load starts. No organisation can have this name.
const LOADS_BUDGET: &str = ".loads";
/// Pause before a load by an instance without a share of the load budget.
const LOAD_PAUSE_WITHOUT_SHARE_MS: u64 = 250;

/// The budgets of one instance.
pub struct BudgetTable {
    /// Lock order: taken last, and alone.
    budgets: Mutex<Budgets>,
    next_ticket: AtomicU64,
    response_received: Notify,
    /// Wakes [`run`] before its next tick.
    due: Notify,
    applied: Mutex<AppliedInputs>,
}

/// Versions of configuration and membership that were last applied to the budgets.
#[derive(Default)]
struct AppliedInputs {
    config_revision: u64,
    membership: Option<(u64, bool)>,
    organisations: Vec<Name>,
}

/// A charge that is not settled yet. If it is dropped unsettled, all charged tokens count as used.
pub struct PendingCharge {
    instance: Arc<Instance>,
    budget: Name,
    ticket: Ticket,
    charged_tokens: u64,
    /// Charged tokens of the request's prompt.
    prompt_tokens: u64,
    used_tokens: u64,
}

impl BudgetTable {
    /// Builds the budgets of process `id`; limits are set from the configuration later.
    pub fn new(id: InstanceId, policy: PolicySetting) -> Self {
        let settings = BudgetSettings {
            policy: match policy {
                PolicySetting::Lending => BudgetPolicy::Lending,
                PolicySetting::StaticShare => BudgetPolicy::StaticShare,
            },
            ..BudgetSettings::default()
        };
        Self {
            budgets: Mutex::new(Budgets::new(id, settings, 0)),
            next_ticket: AtomicU64::new(1),
            response_received: Notify::new(),
            due: Notify::new(),
            applied: Mutex::default(),
        }
    }

    /// Calls `access` with the budgets under the lock.
    pub fn with_budgets<T>(&self, access: impl FnOnce(&mut Budgets) -> T) -> T {
        access(&mut self.budgets.lock().expect("budgets lock"))
    }

    /// Handles the arrival of a message from another process: waiting charges are retried, and
    /// messages that depended on a response are sent.
    pub fn notify_waiting(&self) {
        self.response_received.notify_waiters();
        self.due.notify_one();
    }
}

/// Ticks the budgets until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(TICK_MS);
    loop {
        tokio::select! {
            next = ticks.recv() => {
                if next.is_none() {
                    return;
                }
            }
            () = instance.budgets.due.notified() => {}
        }
        tick(&instance);
    }
}

/// Ends this process's participation in all budgets and sends its grants and loans back.
pub async fn leave(instance: &Arc<Instance>) {
    let now_ms = instance.now_ms();
    let outgoing_messages = instance
        .budgets
        .with_budgets(|budgets| budgets.leave(now_ms));
    let sent = outgoing_messages.iter().map(|outgoing| {
        budget_messages::exchange(instance, &outgoing.to, Some(outgoing.message.clone()))
    });
    futures::future::join_all(sent).await;
}

/// Charges a request for the most that it may use.
///
/// Waits for tokens that are expected in time instead of refusing at once.
///
/// # Errors
///
/// A refusal if the organisation's rate and burst are used up.
pub async fn charge(
    instance: &Arc<Instance>,
    request: &Request,
    deadline_ms: u64,
) -> Result<Option<PendingCharge>, Refusal> {
    if request.organisation.is_empty() {
        return Ok(None);
    }
    let tokens = request.work.cost_tokens();
    let remaining_ms = deadline_ms.saturating_sub(instance.now_ms());
    let max_wait_ms = MAX_WAIT_MS.min(remaining_ms / WAIT_DIVISOR);
    let charged = wait_for_tokens(instance, &request.organisation, tokens, max_wait_ms).await;
    let mut charged = charged.map_err(|error| error.to_refusal())?;
    if let Work::Generate { prompt_tokens, .. } = &request.work {
        charged.prompt_tokens = *prompt_tokens;
    }
    Ok(Some(charged))
}

/// Waits until one more adapter may be loaded; returns whether that was in time.
///
/// The rate alone also bounds the loads in flight, because a load at full speed takes a fraction
/// of a second. An instance without a share of the budget loads after a pause, because the weight
/// store limits its own load and a stalled request is of no use.
pub async fn wait_for_load_permit(instance: &Arc<Instance>) -> bool {
    let starts: Name = LOADS_BUDGET.into();
    match wait_for_tokens(instance, &starts, 1, MAX_LOAD_WAIT_MS).await {
        // The charge is dropped unsettled, so that the load counts as used.
        Ok(_) => true,
        Err(ChargeError::Unavailable { .. }) => {
            sleep(Duration::from_millis(LOAD_PAUSE_WITHOUT_SHARE_MS)).await;
            true
        }
        Err(ChargeError::OverRate { .. } | ChargeError::TooLarge) => false,
    }
}

/// Whether this instance can admit requests under the organisations' budgets.
pub fn can_admit_requests(instance: &Instance) -> bool {
    refresh(instance);
    instance
        .budgets
        .with_budgets(|budgets| budgets.can_admit_requests(instance.now_ms()))
}

impl PendingCharge {
    /// Settles an answered request. The whole charge counts as used if the usage is unknown.
    pub fn settle(mut self, usage: Usage) {
        self.used_tokens = match usage.total_tokens() {
            0 => self.charged_tokens,
            used => used,
        };
    }

    /// Settles a request whose caller disconnected. `generated_tokens` is an upper bound of the
    /// tokens that the server generated, if known; the prompt counts in full.
    pub fn settle_cancelled(mut self, generated_tokens: Option<u64>) {
        if let Some(generated_tokens) = generated_tokens {
            let used = self.prompt_tokens + generated_tokens;
            self.used_tokens = used.min(self.charged_tokens);
        }
    }

    /// Settles a refused request: it is free of charge only if it certainly did not run.
    pub fn settle_refused(mut self, ran: Ran) {
        if ran == Ran::No {
            self.used_tokens = 0;
        }
    }
}

impl Drop for PendingCharge {
    fn drop(&mut self) {
        let now_ms = self.instance.now_ms();
        let (budget, ticket, used) = (&self.budget, self.ticket, self.used_tokens);
        let table = &self.instance.budgets;
        let is_due = table.with_budgets(|budgets| budgets.settle(budget, ticket, used, now_ms));
        if is_due {
            table.due.notify_one();
        }
    }
}

/// Why a charge was not made.
enum ChargeError {
    OverRate { retry_after_ms: u64 },
    Unavailable { retry_after_ms: u64 },
    TooLarge,
}

impl ChargeError {
    fn to_refusal(&self) -> Refusal {
        match self {
            ChargeError::OverRate { retry_after_ms } => {
                let message = "the organisation's rate and burst are used up";
                Refusal::not_run(Code::OverRate, message).retry_after_ms(*retry_after_ms)
            }
            ChargeError::Unavailable { retry_after_ms } => {
                let message = "this instance holds no share of the organisation's budget";
                Refusal::not_run(Code::NotReady, message).retry_after_ms(*retry_after_ms)
            }
            ChargeError::TooLarge => {
                let message = "the request may use more tokens than the organisation's burst";
                // No retry can succeed, so the refusal has no retry time.
                Refusal::not_run(Code::OverRate, message)
            }
        }
    }
}

/// A charge that may be waiting for tokens; dropping it abandons the wait.
struct WaitingCharge<'a> {
    table: &'a BudgetTable,
    budget: &'a Name,
    ticket: Ticket,
}

impl Drop for WaitingCharge<'_> {
    fn drop(&mut self) {
        self.table
            .with_budgets(|budgets| budgets.abandon(self.budget, self.ticket));
    }
}

async fn wait_for_tokens(
    instance: &Arc<Instance>,
    budget: &Name,
    tokens: u64,
    max_wait_ms: u64,
) -> Result<PendingCharge, ChargeError> {
    refresh(instance);
    let table = &instance.budgets;
    let ticket = table.next_ticket.fetch_add(1, Ordering::Relaxed);
    let _waiting = WaitingCharge {
        table,
        budget,
        ticket,
    };
    let deadline_ms = instance.now_ms() + max_wait_ms;
    loop {
        let notified = table.response_received.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        match try_charge(instance, budget, ticket, tokens, deadline_ms) {
            Charge::Granted => {
                return Ok(PendingCharge {
                    instance: instance.clone(),
                    budget: budget.clone(),
                    ticket,
                    charged_tokens: tokens,
                    prompt_tokens: 0,
                    used_tokens: tokens,
                });
            }
            Charge::Wait { wait_ms } => {
                tick(instance);
                // The charge is tried again after a message as well as after the time-out.
                let _ = timeout(Duration::from_millis(wait_ms), notified).await;
            }
            Charge::Refused { retry_after_ms } => {
                return Err(ChargeError::OverRate { retry_after_ms });
            }
            Charge::Unavailable { retry_after_ms } => {
                return Err(ChargeError::Unavailable { retry_after_ms });
            }
            Charge::TooLarge => return Err(ChargeError::TooLarge),
        }
    }
}

/// Charges once. A charge during which the process was paused is refunded, because its tokens may
/// have expired meanwhile.
fn try_charge(
    instance: &Instance,
    budget: &Name,
    ticket: Ticket,
    tokens: u64,
    deadline_ms: u64,
) -> Charge {
    instance.budgets.with_budgets(|budgets| {
        let now_ms = instance.now_ms();
        let remaining_ms = deadline_ms.saturating_sub(now_ms);
        let charge = budgets.charge(budget, ticket, tokens, remaining_ms, now_ms);
        let after_ms = instance.now_ms();
        if charge == Charge::Granted && after_ms >= now_ms + PAUSE_THRESHOLD_MS {
            budgets.settle(budget, ticket, 0, after_ms);
            return Charge::Wait { wait_ms: 0 };
        }
        charge
    })
}

fn tick(instance: &Arc<Instance>) {
    refresh(instance);
    let now_ms = instance.now_ms();
    let outgoing_messages = instance
        .budgets
        .with_budgets(|budgets| budgets.tick(now_ms));
    budget_messages::send_all(instance, outgoing_messages);
}

/// Applies changes of the configuration and of the membership to the budgets.
fn refresh(instance: &Instance) {
    let config_revision = instance.with_config(ConfigTable::revision);
    let is_stopping = instance.is_stopping();
    let membership = instance.with_membership(|membership| membership.version());
    let mut applied = instance
        .budgets
        .applied
        .lock()
        .expect("applied inputs lock");
    let is_first = applied.membership.is_none();
    if is_first || applied.config_revision != config_revision {
        applied.config_revision = config_revision;
        apply_config(instance, &mut applied);
    }
    if applied.membership != Some((membership, is_stopping)) {
        applied.membership = Some((membership, is_stopping));
        apply_peers(instance, is_stopping);
    }
}

fn apply_peers(instance: &Instance, is_stopping: bool) {
    let mut peers: Vec<InstanceId> =
        instance.with_membership(|membership| membership.live_processes().collect());
    if !is_stopping {
        peers.push(instance.id.clone());
    }
    let now_ms = instance.now_ms();
    instance
        .budgets
        .with_budgets(|budgets| budgets.set_peers(peers, now_ms));
}

fn apply_config(instance: &Instance, applied: &mut AppliedInputs) {
    let (limits, loads, removed) = instance.with_config(|config| {
        let limits = organisation_limits(config);
        let names = std::mem::take(&mut applied.organisations);
        let removed: Vec<(Name, u64)> = names
            .into_iter()
            .filter(|name| config.organisation(name).is_none())
            .filter_map(|name| {
                let revision = config.entry(Kind::Organisation, &name)?.revision;
                Some((name, revision))
            })
            .collect();
        (limits, load_limits(config), removed)
    });
    applied.organisations = limits.iter().map(|(name, ..)| name.clone()).collect();
    let now_ms = instance.now_ms();
    instance.budgets.with_budgets(|budgets| {
        for (name, limit, generation) in &limits {
            budgets.configure(name, *limit, *generation, now_ms);
        }
        for (name, limit, generation) in &loads {
            budgets.configure(name, *limit, *generation, now_ms);
            // A fixed share of so small a budget would not admit a single load.
            budgets.set_policy(name, BudgetPolicy::Lending);
        }
        for (name, generation) in &removed {
            budgets.remove(name, *generation, now_ms);
        }
    });
}

fn organisation_limits(config: &ConfigTable) -> Vec<(Name, Limit, u64)> {
    let mut limits = Vec::new();
    for (name, spec) in config.of_kind(Kind::Organisation) {
        if let Spec::Organisation(spec) = spec
            && let Some(entry) = config.entry(Kind::Organisation, name)
        {
            let limit = Limit {
                rate_per_s: spec.rate_tokens_per_s as f64,
                burst_tokens: spec.burst_tokens as f64,
            };
            limits.push((name.clone(), limit, entry.revision));
        }
    }
    limits
}

fn load_limits(config: &ConfigTable) -> Vec<(Name, Limit, u64)> {
    let Some(site) = config.site() else {
        return Vec::new();
    };
    // Any configuration change may be a change of the site; setting the same limit again has no
    // effect.
    let generation = config.revision();
    let starts = Limit {
        rate_per_s: site.loads_per_s as f64,
        burst_tokens: site.loads_per_s.max(1) as f64,
    };
    vec![(LOADS_BUDGET.into(), starts, generation)]
}
