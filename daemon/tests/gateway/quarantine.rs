//! Requests that crash the servers that run them.

use std::time::{SystemTime, UNIX_EPOCH};

use mimosabay_core::cases;
use mimosabay_core::quarantine::Quarantine;
use mimosabay_core::work::Fingerprint;
use mimosabay_standin::fleet::{
    AnswerStart, Behaviour, ConnectionEnd, CrashEnd, CrashPlan, CrashTrigger, FleetInstance,
    FleetOptions, FleetServer, FleetSite, RestartId,
};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::json;

/// Body of the requests that crash servers.
const POISON: &str = "poison";
/// Retry delay from which on an answer is a refusal of a request that crashes servers, in seconds.
const QUARANTINE_RETRY_S: f64 = 10.0;

/// Deadline of a request whose server does not answer, in milliseconds.
const DEADLINE_MS: u64 = 18_000;

const PLAN: CrashPlan = CrashPlan {
    trigger: CrashTrigger::BodyPrefix(POISON),
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

/// Waits until an instance knows that a request is refused.
async fn wait_until_refused_at(site: &FleetSite, index: usize) {
    wait_for("an instance that knows the refused request", async || {
        let log = site.instances[index].log().into_iter();
        let mut received = log.filter(|line| line["event"] == "quarantine_received");
        let is_known = received.any(|line| line["refused"].as_u64() > Some(0));
        is_known.then_some(())
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
        wait_until_refused_at(&site, other).await;
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

/// Work that the stored quarantine refuses.
fn stored_refused(site: &FleetSite) -> Option<usize> {
    let spec = site.store.spec("quarantine", "cell-0")?;
    let stored: Quarantine = serde_json::from_value(spec).expect("a quarantine");
    Some(stored.quarantined().count())
}

/// A stored quarantine of a request that has crashed earlier starts of servers.
fn quarantine_of_another_request() -> serde_json::Value {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = since_epoch.expect("a time after 1970").as_millis();
    let unix_ms = u64::try_from(unix_ms).expect("a time that fits");
    let crash = |server: &str| json!([{ "server": server, "boot": 0 }, unix_ms]);
    let row = json!({
        "fingerprint": "1f",
        "crashes": [crash("engine-0"), crash("engine-1")],
        "retracted": [],
        "answered_unix_ms": null,
    });
    json!({ "evidence": [row] })
}

async fn wait_for_stored(site: &FleetSite, refused: usize) {
    wait_for("the stored quarantine", async || {
        (stored_refused(site)? == refused).then_some(())
    })
    .await;
}

/// Cuts the links to the engine at which a request runs, which looks like a crash; returns its index.
async fn cut_running(site: &FleetSite) -> usize {
    let index = wait_for("a request at an engine", async || {
        let mut engines = site.engines.iter();
        engines.position(|engine| engine.running_count() > 0)
    })
    .await;
    site.server_relays[index].refuse();
    wait_for("a request that has left the engine", async || {
        (site.engines[index].running_count() == 0).then_some(())
    })
    .await;
    index
}

/// Guards against a request that is refused again after a restart: the end of its quarantine was not stored,
/// because what had been read before counted as stored.
#[test]
fn end_of_a_quarantine_is_stored() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            engines: 4,
            has_relays: true,
            ..FleetOptions::default()
        })
        .await;
        let stored = quarantine_of_another_request();
        site.store.put("quarantine", "cell-0", &stored);
        for index in 0..site.instances.len() {
            site.restart(index);
        }
        wait_for("a placer that has read the quarantine", async || {
            let mut instances = site.instances.iter();
            instances
                .any(|it| it.has_logged("quarantine_read"))
                .then_some(())
        })
        .await;
        for engine in &site.engines {
            engine.plan(Behaviour::Hang);
        }
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        let hanging = tokio::spawn(async move { caller.generate("/draft/x", "hanging", "").await });
        let cut = [cut_running(&site).await, cut_running(&site).await];
        wait_for_stored(&site, 2).await;
        for index in cut {
            site.server_relays[index].heal();
        }
        wait_for_stored(&site, 1).await;
        hanging.abort();
    });
}

/// Returns whether an instance knows version 2 of the configuration.
fn knows_configuration(instance: &FleetInstance) -> bool {
    let log = instance.log().into_iter();
    let mut applied = log.filter(|line| line["event"] == "configuration_in_force");
    applied.any(|line| line["version"] == 2)
}

/// Returns whether an instance knows that servers are leaving.
fn knows_leaving(instance: &FleetInstance, servers: &[FleetServer]) -> bool {
    let log = instance.log();
    let is_leaving = |server: &FleetServer| {
        let mut lines = log.iter();
        lines.any(|line| line["event"] == "server_leaving" && line["server"] == *server.id)
    };
    servers.iter().all(is_leaving)
}

/// Guards against a retry of a request that was found to crash servers during its first attempt.
#[test]
fn request_that_is_quarantined_meanwhile_is_not_retried() {
    block_on(async {
        let site = start_site().await;
        site.configure(2, |it| {
            it["routes"][3]["targetLatencyMs"] = json!(DEADLINE_MS);
            it["routes"][3]["timeoutMs"] = json!(DEADLINE_MS);
        });
        let [silent, others @ ..] = &site.plain_servers[..] else {
            panic!("no plain servers");
        };
        silent.plan(Behaviour::Hang);
        for server in others {
            server.register("draining");
            server.crash_on(PLAN);
        }
        wait_for("the configuration and the servers", async || {
            let mut instances = site.instances.iter();
            let are_known =
                |it: &FleetInstance| knows_configuration(it) && knows_leaving(it, others);
            instances.all(are_known).then_some(())
        })
        .await;
        let caller = site.caller(0).deadline_ms(DEADLINE_MS);
        let first = tokio::spawn(async move { caller.post("/look/x", "first", POISON).await });
        wait_for("a request that waits for its server", async || {
            (silent.running_count() > 0).then_some(())
        })
        .await;
        silent.register("draining");
        // It would answer another request, and so prove that the request crashes no server.
        wait_for("an instance that avoids the silent server", async || {
            let silent = std::slice::from_ref(silent);
            knows_leaving(&site.instances[1], silent).then_some(())
        })
        .await;
        for server in others {
            server.register("ready");
        }
        wait_for("a refused request", async || {
            let caller = site.caller(1);
            let answer = caller.post("/look/x", "second", POISON).await.ok()?;
            let retry_after: f64 = answer.header("retry-after").parse().ok()?;
            (retry_after > QUARANTINE_RETRY_S).then_some(())
        })
        .await;
        wait_until_refused_at(&site, 0).await;
        silent.crash();
        let answer = first.await.unwrap().unwrap();
        assert!(answer.status >= 500, "{}", answer.status);
        assert_eq!(site.run_count("first"), 1);
    });
}

/// Guards against taking the end of a crashed server's connection for an answer.
mod draft_that_crashes_servers_as_they_begin_an_answer_is_refused {
    use super::{AnswerStart, cases, check_refused_draft};

    cases! {
        check_refused_draft;
        after_the_head: (AnswerStart::Head);
        inside_the_first_event: (AnswerStart::HalfEvent);
    }
}

fn check_refused_draft(start: AnswerStart) {
    block_on(async {
        let site = start_site().await;
        let plan = CrashPlan {
            end: CrashEnd::AtAnswer {
                start,
                connections: ConnectionEnd::InOrder,
            },
            ..PLAN
        };
        for engine in &site.engines {
            engine.crash_on(plan);
        }
        wait_for_refused_draft(&site, 0).await;
    });
}

/// Guards against losing the stored quarantine when the format of its rows changes.
#[test]
fn stored_row_without_a_kind_is_a_request() {
    let row = |fingerprint: &str| {
        json!([{
            "fingerprint": fingerprint,
            "crashes": [[{"server": "engine-1", "boot": 1}, 5], [{"server": "engine-1", "boot": 2}, 6]],
            "retracted": [],
            "answered_unix_ms": null,
        }])
    };
    let stored: Quarantine = serde_json::from_value(json!({"evidence": row("1f")})).unwrap();
    let request = Fingerprint::Request(0x1f);
    assert_eq!(stored.quarantined().collect::<Vec<_>>(), [request]);
    assert_eq!(
        serde_json::to_value(&stored).unwrap(),
        json!({"evidence": row("1f")})
    );
    let stored: Quarantine = serde_json::from_value(json!({"evidence": row("part:1f")})).unwrap();
    let part = Fingerprint::PromptPart(0x1f);
    assert_eq!(stored.fingerprints().collect::<Vec<_>>(), [part]);
}
