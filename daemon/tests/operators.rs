//! Operators' view of real processes: on how many instances a change is in force, and service
//! levels.

use mimosabay_core::resource::Kind;
use mimosabay_operator::StatusRecord;
use mimosabay_operator::slo::{SLO_KIND, SloRecord};
use mimosabay_operator::store::{self, STATUS_KIND};
use mimosabay_standin::harness::{CLINICS_KEY, Site, SiteOptions, block_on, find_binary, wait_for};
use mimosabay_standin::text;
use serde_json::{Value, json};
use tokio::process::Command;

fn organisation(rate: u64) -> Value {
    json!({"rate_tokens_per_s": rate, "burst_tokens": 1000})
}

async fn status(site: &Site, kind: Kind, name: &str) -> Option<StatusRecord> {
    let name = store::qualified_name(kind, name);
    let object = site.platform.get(STATUS_KIND, &name).await.ok()?;
    store::read_record(&object, STATUS_KIND).ok()
}

#[test]
fn status_tells_on_how_many_instances_a_change_is_in_force() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let instances = u32::try_from(site.instances.len()).unwrap();
        for rate in 1..=5 {
            let spec = organisation(rate);
            let generation = site.write(Kind::Organisation, "wards", &spec).await;
            let status = wait_for("the change in force everywhere", async || {
                let status = status(&site, Kind::Organisation, "wards").await?;
                let is_done = status.observed_generation == generation
                    && status.instances > 0
                    && status.in_force == status.instances;
                is_done.then_some(status)
            });
            assert_eq!(status.await.instances, instances);
        }
    });
}

#[test]
fn a_rejected_change_keeps_its_reason_while_another_is_put_in_force() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        site.write(Kind::Organisation, "wards", &organisation(1))
            .await;
        let generation = site
            .write(Kind::Organisation, "wards", &organisation(0))
            .await;
        let status = wait_for("the rejection", async || {
            let status = status(&site, Kind::Organisation, "wards").await?;
            (status.observed_generation == generation).then_some(status)
        });
        let status = status.await;
        assert!(
            !status.accepted && status.reason.contains("rate_tokens_per_s"),
            "{status:?}"
        );
    });
}

#[test]
fn service_levels_are_stored_on_a_planned_stop() {
    block_on(async {
        let mut site = Site::start(SiteOptions::default()).await;
        let reply = site
            .caller(0)
            .key(CLINICS_KEY)
            .complete("drafting", "soap", 5)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        let unknown = site
            .caller(0)
            .key(CLINICS_KEY)
            .complete("nothing", "soap", 5)
            .await;
        assert_eq!(unknown.unwrap().status, 404);
        let name = site.instances[0].name().to_owned();
        site.instances[0].process.terminate();
        site.instances[0].process.wait_for_exit().await;
        let object = site.platform.get(SLO_KIND, &name).await.unwrap();
        let record: SloRecord = store::read_record(&object, SLO_KIND).unwrap();
        assert_eq!(record.series.len(), 1, "{record:?}");
        let series = &record.series[0];
        assert_eq!(
            (&*series.organisation, &*series.route),
            ("clinics", "drafting")
        );
        let counts = &series.windows[0].counts;
        assert_eq!(
            (counts.answered, counts.first_token.iter().sum::<u64>()),
            (1, 1)
        );
        assert_eq!((counts.failed, counts.refused_within_rate), (0, 0));
    });
}

/// Runs the command-line tool with JSON output; panics if its exit code is not `code`.
async fn tool(site: &Site, args: &[&str], code: i32) -> Value {
    let output = Command::new(find_binary("mimosabay"))
        .args(args)
        .args([
            "--output",
            "json",
            "--as",
            "ann",
            "--platform",
            &site.platform_address,
        ])
        .output()
        .await
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{args:?}: {stderr}");
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

#[test]
fn a_withdrawn_key_works_on_no_instance_once_the_tool_says_so() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let created = tool(&site, &["key", "create", "clinics", "desk", "--wait"], 0).await;
        let key = created["key"].as_str().unwrap().to_owned();
        for index in 0..site.instances.len() {
            let reply = site
                .caller(index)
                .key(&key)
                .complete("tender", "soap", 2)
                .await
                .unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
        tool(&site, &["key", "withdraw", "desk", "--wait"], 0).await;
        for index in 0..site.instances.len() {
            let reply = site
                .caller(index)
                .key(&key)
                .complete("tender", "soap", 2)
                .await
                .unwrap();
            assert_eq!(
                reply.body["error"]["code"], "withdrawn_key",
                "{}",
                reply.body
            );
            assert_eq!(reply.body["error"]["ran"], "no");
        }
    });
}

#[test]
fn a_promoted_version_is_served_by_all_instances_once_the_tool_says_so() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        for version in ["1", "2", "1"] {
            tool(
                &site,
                &["adapter", "promote", "tender", version, "--wait"],
                0,
            )
            .await;
            for index in 0..site.instances.len() {
                let reply = site
                    .caller(index)
                    .complete("tender", "soap", 3)
                    .await
                    .unwrap();
                let source = format!("store://tender/{version}");
                assert_eq!(reply.text(), text::generate_text(&source, "soap", 3));
            }
        }
    });
}

#[test]
fn a_deleted_route_is_known_to_no_instance_once_the_tool_says_so() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        tool(&site, &["delete", "adapter", "tender"], 6).await;
        tool(&site, &["delete", "route", "drafting", "--wait"], 0).await;
        for index in 0..site.instances.len() {
            let reply = site
                .caller(index)
                .complete("drafting", "soap", 3)
                .await
                .unwrap();
            assert_eq!(
                reply.body["error"]["code"], "unknown_model",
                "{}",
                reply.body
            );
        }
    });
}

#[test]
fn status_counts_instances_and_what_is_in_force() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let status = wait_for("all in force", async || {
            let status = tool(&site, &["status"], 0).await;
            (status["configuration"]["exceptions"] == json!([])).then_some(status)
        });
        let status = status.await;
        assert_eq!(status["configuration"]["in_force"], 3);
        assert_eq!(status["instances"].as_array().map(Vec::len), Some(3));
        assert_eq!(status["servers"].as_array().map(Vec::len), Some(3));
    });
}

#[test]
fn a_killed_acceptor_leaves_no_change_without_a_status() {
    block_on(async {
        let mut site = Site::start(SiteOptions::default()).await;
        for index in 0..2 {
            let generation = site
                .write(Kind::Organisation, "wards", &organisation(5))
                .await;
            site.instances[index].process.kill();
            site.remove_from_list(index, 0).await;
            let left = u32::try_from(site.instances.len() - index - 1).unwrap();
            let done = wait_for("the change in force on what is left", async || {
                let status = status(&site, Kind::Organisation, "wards").await?;
                let is_done = status.observed_generation == generation
                    && status.accepted
                    && status.in_force == left
                    && status.instances == left;
                is_done.then_some(())
            });
            done.await;
        }
    });
}

#[test]
fn a_change_that_a_watch_omitted_is_put_in_force() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        for round in 0..6 {
            let name = format!("desk-{round}");
            let created = tool(&site, &["key", "create", "clinics", &name, "--wait"], 0).await;
            let key = created["key"].as_str().unwrap().to_owned();
            site.platform_control
                .set_faults(&json!({"skip_watches": 1 + round % 3}))
                .await;
            tool(&site, &["key", "withdraw", &name], 0).await;
            for index in 0..site.instances.len() {
                let caller = site.caller(index).key(&key);
                wait_for("the key withdrawn", async || {
                    let reply = caller.complete("tender", "soap", 1).await.ok()?;
                    (reply.body["error"]["code"] == "withdrawn_key").then_some(())
                })
                .await;
            }
        }
    });
}
