//! Requests that crash the servers that run them.

use mimosabay_standin::fleet::{CrashEnd, CrashPlan, FleetOptions, FleetSite, RestartId};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::json;

/// Body of the requests that crash servers.
const POISON: &str = "poison";
/// Retry delay from which on an answer is a refusal of a request that crashes servers, in seconds.
const QUARANTINE_RETRY_S: f64 = 10.0;

const PLAN: CrashPlan = CrashPlan {
    body: POISON,
    end: CrashEnd::Close,
    restart: RestartId::Same,
    down_ms: 500,
    entry_expiry_ms: 3_000,
};

async fn start_site() -> FleetSite {
    FleetSite::start(FleetOptions {
        instances: 3,
        engines: 4,
        plain_servers: 4,
        ..FleetOptions::default()
    })
    .await
}

/// Waits until an instance refuses a draft because of the crashes that it caused.
async fn wait_for_refused_draft(site: &FleetSite, index: usize) {
    wait_for("a refused draft", async || {
        let caller = site.caller(index).prompt_text(POISON);
        let answer = caller.generate("/draft/x", "poison", "").await.ok()?;
        let retry_after: f64 = answer.header("retry-after").parse().ok()?;
        (answer.status == 503 && retry_after > QUARANTINE_RETRY_S).then_some(())
    })
    .await;
}

/// Guards against placing a request that crashes engines while there is no placer to refuse it.
#[test]
fn quarantined_draft_is_refused_while_no_placer_can_be_elected() {
    block_on(async {
        let mut site = start_site().await;
        for engine in &site.engines {
            engine.crash_on(PLAN);
        }
        let placer = site.wait_placer().await;
        let other = (placer + 1) % 3;
        wait_for_refused_draft(&site, other).await;
        wait_for("an instance that knows the refused request", async || {
            let log = site.instances[other].log().into_iter();
            let mut received = log.filter(|line| line["event"] == "quarantine_received");
            received
                .any(|line| line["refused"].as_u64() > Some(0))
                .then_some(())
        })
        .await;
        site.store.set_down(true);
        site.instances[placer].process.kill();
        wait_for("a draft that is placed without a placer", async || {
            let caller = site.caller(other);
            let answer = caller.generate("/draft/x", "good", "").await.ok()?;
            let log = site.instances[other].log_about("good");
            let is_bypassed = log.iter().any(|line| line["is_placed"] == json!(false));
            (answer.status == 200 && is_bypassed).then_some(())
        })
        .await;
        let caller = site.caller(other).prompt_text(POISON);
        let answer = caller.generate("/draft/x", "last", "").await.unwrap();
        assert_eq!(answer.status, 503);
        assert_eq!(site.run_count("last"), 0);
    });
}
