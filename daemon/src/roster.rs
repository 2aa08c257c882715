//! Maintenance of the roster object in the store, which lists the processes that hold a share of
//! every budget.

use std::collections::HashMap;
use std::sync::Arc;

use mimosabay_core::membership::MemberState;
use mimosabay_core::name::InstanceId;
use mimosabay_core::roster::Roster;
use mimosabay_platform::{Category, Error, Precondition};
use tracing::{info, warn};

use crate::budget_messages;
use crate::instance::Instance;

/// Kind and name of the roster object.
const KIND: &str = "roster";
const NAME: &str = "members";
/// Time between two checks of whether the roster should be read.
const PERIOD_MS: u64 = 250;
/// Longest time between two reads of the roster.
const READ_PERIOD_MS: u64 = 5_000;
/// Time without being listed or seen after which a process counts as terminated. The list lags,
/// so a new process may not be on it yet.
const UNSEEN_TIMEOUT_MS: u64 = 5_000;
/// Time that the first members of a site have to join before any budget is used.
const BOOTSTRAP_WAIT_MS: u64 = 600;
/// Maximum changes in one step: joining, removing others, confirming.
const MAX_CHANGES: usize = 3;
/// Maximum attempts to leave the roster when writes conflict.
const LEAVE_ATTEMPTS: usize = 5;

/// Keeps this process on the roster until it leaves.
pub async fn run(instance: Arc<Instance>) {
    let mut ticks = instance.timer.subscribe(PERIOD_MS);
    let mut follower = Follower::default();
    loop {
        follower.step(&instance).await;
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Removes this process from the roster. Call only when it no longer uses any budget.
pub async fn leave(instance: &Instance) {
    for _ in 0..LEAVE_ATTEMPTS {
        let result =
            read_and_update(instance, |roster| roster.remove(|id| *id == instance.id)).await;
        match result {
            Ok(_) => return,
            Err(cause) if cause.classify() == Category::Conflict => {}
            Err(cause) => {
                // Other members remove it once the platform's list shows that it has terminated.
                warn!(%cause, "cannot remove this process from the roster");
                return;
            }
        }
    }
}

#[derive(Default)]
struct Follower {
    roster: Roster,
    read_ms: Option<u64>,
    /// Time at which this process was first read as a member, in milliseconds.
    joined_ms: Option<u64>,
    /// Members that are neither listed nor seen, with the time since when, in milliseconds.
    unseen_since_ms: HashMap<InstanceId, u64>,
}

impl Follower {
    async fn step(&mut self, instance: &Arc<Instance>) {
        self.track_unseen_members(instance);
        let before = self.roster.version;
        for _ in 0..MAX_CHANGES {
            if !self.should_read(instance) {
                break;
            }
            self.read(instance).await;
        }
        let needs_validation = instance
            .budgets
            .with_budgets(|budgets| budgets.needs_validation(instance.now_ms()));
        // The query also tells the other members of a new version.
        if needs_validation || self.roster.version != before {
            self.query_other_members(instance).await;
        }
    }

    fn should_read(&self, instance: &Instance) -> bool {
        let now_ms = instance.now_ms();
        let is_old = self
            .read_ms
            .is_none_or(|read_ms| read_ms + READ_PERIOD_MS <= now_ms);
        let needs_read = instance
            .budgets
            .with_budgets(|budgets| budgets.needs_roster_read(now_ms));
        is_old || needs_read || self.required_change(instance, &self.roster).is_some()
    }

    async fn read(&mut self, instance: &Instance) {
        match read_and_update(instance, |roster| self.required_change(instance, roster)).await {
            Ok(roster) => {
                if roster.version != self.roster.version {
                    let (version, members) = (roster.version, roster.members.len());
                    info!(version, members, "roster read");
                }
                if roster.member(&instance.id).is_some() {
                    self.joined_ms.get_or_insert(instance.now_ms());
                }
                self.roster = roster;
                self.read_ms = Some(instance.now_ms());
            }
            // Another member wrote first; the next step reads the result.
            Err(cause) if cause.classify() == Category::Conflict => self.read_ms = None,
            Err(cause) => warn!(%cause, "cannot read or update the roster"),
        }
    }

    /// The next roster if this process has to change it.
    fn required_change(&self, instance: &Instance, roster: &Roster) -> Option<Roster> {
        let now_ms = instance.now_ms();
        let (confirmable, has_left) = instance
            .budgets
            .with_budgets(|budgets| (budgets.confirmable_version(now_ms), budgets.has_left()));
        if has_left {
            return None;
        }
        roster
            .join(&instance.id)
            .or_else(|| roster.remove(|id| self.has_terminated(instance, id)))
            .or_else(|| {
                self.bootstrap_wait_elapsed(now_ms)
                    .then(|| roster.finish_bootstrap())?
            })
            .or_else(|| roster.confirm(&instance.id, confirmable?))
    }

    /// Whether the other first members have had time to join.
    fn bootstrap_wait_elapsed(&self, now_ms: u64) -> bool {
        self.joined_ms
            .is_some_and(|joined_ms| now_ms >= joined_ms + BOOTSTRAP_WAIT_MS)
    }

    fn has_terminated(&self, instance: &Instance, id: &InstanceId) -> bool {
        if *id == instance.id {
            return false;
        }
        let known = instance.with_membership(|membership| {
            let member = membership.member(&id.name)?;
            Some((member.incarnation, member.state))
        });
        match known {
            // The platform runs one process of an instance at a time.
            Some((incarnation, _)) if incarnation > id.incarnation => true,
            Some((incarnation, state)) => {
                incarnation == id.incarnation && state == MemberState::Terminated
            }
            None => {
                let since_ms = self.unseen_since_ms.get(id);
                since_ms.is_some_and(|since_ms| since_ms + UNSEEN_TIMEOUT_MS <= instance.now_ms())
            }
        }
    }

    fn track_unseen_members(&mut self, instance: &Instance) {
        let now_ms = instance.now_ms();
        let is_known = |id: &InstanceId| {
            *id == instance.id
                || instance.with_membership(|membership| membership.member(&id.name).is_some())
        };
        self.unseen_since_ms.retain(|id, _| !is_known(id));
        for member in &self.roster.members {
            if !is_known(&member.id) {
                self.unseen_since_ms
                    .entry(member.id.clone())
                    .or_insert(now_ms);
            }
        }
    }

    /// Exchanges roster versions with the other members. A member that acts on no newer version
    /// confirms that this process is still on the roster, also while the store is unavailable.
    async fn query_other_members(&self, instance: &Arc<Instance>) {
        let members = self.roster.members.iter().map(|member| &member.id);
        let other_members = members.filter(|id| **id != instance.id);
        let queries = other_members.map(|id| budget_messages::exchange(instance, id, None));
        futures::future::join_all(queries).await;
    }
}

/// Reads the roster, writes the required change, if any, and returns the current roster.
async fn read_and_update(
    instance: &Instance,
    required_change: impl Fn(&Roster) -> Option<Roster>,
) -> Result<Roster, Error> {
    let sent_ms = instance.now_ms();
    let (roster, precondition) = match instance.platform.get(KIND, NAME).await {
        Ok(object) => {
            let Ok(roster) = serde_json::from_value(object.value) else {
                warn!("cannot decode the roster object");
                return Ok(Roster::default());
            };
            (roster, Precondition::Version(object.version))
        }
        Err(cause) if cause.classify() == Category::NotFound => {
            (Roster::bootstrapping(), Precondition::Absent)
        }
        Err(cause) => return Err(cause),
    };
    apply_roster(instance, &roster, sent_ms);
    let Some(next) = required_change(&roster) else {
        return Ok(roster);
    };
    let sent_ms = instance.now_ms();
    let value = serde_json::to_value(&next).expect("a roster has string keys only");
    instance
        .platform
        .put(KIND, NAME, &value, precondition)
        .await?;
    apply_roster(instance, &next, sent_ms);
    Ok(next)
}

fn apply_roster(instance: &Instance, roster: &Roster, sent_ms: u64) {
    let now_ms = instance.now_ms();
    instance
        .budgets
        .with_budgets(|budgets| budgets.set_roster(roster, sent_ms, now_ms));
    instance.budgets.notify_waiting();
}
