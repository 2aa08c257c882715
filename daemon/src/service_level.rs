//! Counting service levels, and adding the counters to the store.

use std::sync::Arc;

use mimosabay_core::name::Name;
use mimosabay_core::request::{Refusal, Request, Usage, Work};
use mimosabay_operator::slo::{Outcome, SLO_KIND, SloRecord};
use mimosabay_operator::{refusal_outcome, store};
use mimosabay_platform::{Category, Error, Object, Precondition};
use tracing::warn;

use crate::clock::unix_ms;
use crate::instance::Instance;
use crate::pace::Pace;

/// Adds the counters to the store from time to time until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let period_ms = instance.settings.timing.slo_flush_ms;
    let mut ticks = instance.timer.subscribe(period_ms);
    while ticks.recv().await.is_some() {
        flush(&instance).await;
    }
}

/// Adds the counters to the store once. What fails is kept for the next time.
pub async fn flush(instance: &Instance) {
    if let Err(cause) = try_flush(instance).await {
        warn!(%cause, "cannot store the service-level counters");
    }
}

/// Counts a request that was admitted, by how it ended.
pub fn count_ended(
    instance: &Instance,
    request: &Request,
    route: &Name,
    ended: &Result<Usage, Refusal>,
    pace: &Pace,
    started_ms: u64,
) {
    let outcome = match ended {
        Ok(_) => Some(answered(&request.work, pace, started_ms)),
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

fn answered(work: &Work, pace: &Pace, started_ms: u64) -> Outcome {
    match work {
        Work::Generate { .. } => Outcome::Answered {
            first_token_ms: pace.first_token_ms(started_ms),
            between_tokens_ms: pace.between_tokens_ms(),
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

/// Counters that cannot be read are replaced; requests are worth more than their statistics.
fn read(object: &Object) -> SloRecord {
    store::read_record(object, SLO_KIND).unwrap_or_else(|cause| {
        warn!(%cause, "starts the service-level counters anew");
        SloRecord::default()
    })
}
