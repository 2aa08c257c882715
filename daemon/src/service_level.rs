//! Counts service levels and adds the counters to the store.

use std::sync::Arc;

use mimosabay_core::name::Name;
use mimosabay_core::request::{Refusal, Request, Usage, Work};
use mimosabay_operator::slo::{Outcome, SLO_KIND, SloRecord};
use mimosabay_operator::{refusal_outcome, store};
use mimosabay_platform::{Category, Error, Object, Precondition};
use tracing::warn;

use crate::clock::unix_ms;
use crate::instance::Instance;
use crate::token_timing::TokenTiming;

/// Adds the counters to the store every `slo_flush_ms` until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let period_ms = instance.settings.timing.slo_flush_ms;
    let mut ticks = instance.timer.subscribe(period_ms);
    while ticks.recv().await.is_some() {
        flush(&instance).await;
    }
}

/// Adds the counters to the store once. After a failure they are kept for the next time.
pub async fn flush(instance: &Instance) {
    if let Err(cause) = try_flush(instance).await {
        warn!(%cause, "cannot store the service-level counters");
    }
}

/// Counts a request that was admitted, by how it ended.
pub fn count_outcome(
    instance: &Instance,
    request: &Request,
    route: &Name,
    result: &Result<Usage, Refusal>,
    timing: &TokenTiming,
    started_ms: u64,
) {
    let outcome = match result {
        Ok(_) => Some(answered_outcome(&request.work, timing, started_ms)),
        Err(refusal) => refusal_outcome(refusal),
    };
    if let Some(outcome) = outcome {
        count(instance, &request.organisation, route, outcome);
    }
}

/// Counts a call of an organisation that was not admitted.
pub fn count_refused(instance: &Instance, organisation: &Name, route: &Name, refusal: &Refusal) {
    if let Some(outcome) = refusal_outcome(refusal) {
        count(instance, organisation, route, outcome);
    }
}

fn count(instance: &Instance, organisation: &Name, route: &Name, outcome: Outcome) {
    let now_ms = unix_ms();
    instance.with_slo(|slo| slo.count(organisation, route, outcome, now_ms));
}

fn answered_outcome(work: &Work, timing: &TokenTiming, started_ms: u64) -> Outcome {
    match work {
        Work::Generate { .. } => Outcome::Answered {
            first_token_ms: timing.first_token_ms(started_ms),
            between_tokens_ms: timing.between_tokens_ms(),
        },
        Work::Plain { .. } => Outcome::Answered {
            first_token_ms: None,
            between_tokens_ms: None,
        },
    }
}

async fn try_flush(instance: &Instance) -> Result<(), Error> {
    let name = &instance.id.name;
    let stored = match instance.platform.get(SLO_KIND, name).await {
        Ok(object) => Some(object),
        Err(cause) if cause.classify() == Category::NotFound => None,
        Err(cause) => return Err(cause),
    };
    let precondition = stored.as_ref().map_or(Precondition::Absent, |object| {
        Precondition::Version(object.version)
    });
    let record = stored.as_ref().map(read);
    let Some(merged) = instance.with_slo(|slo| slo.merge(record, unix_ms())) else {
        return Ok(());
    };
    let value = store::to_value(&merged);
    instance
        .platform
        .put(SLO_KIND, name, &value, precondition)
        .await?;
    instance.with_slo(mimosabay_operator::SloRecorder::confirm_write);
    Ok(())
}

/// Decodes the stored counters. Unreadable counters are replaced, because a lost statistic is
/// preferable to a failure of the instance.
fn read(object: &Object) -> SloRecord {
    store::read_record(object, SLO_KIND).unwrap_or_else(|cause| {
        warn!(%cause, "cannot read the stored service-level counters; starting from zero");
        SloRecord::default()
    })
}
