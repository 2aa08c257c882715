//! Logs and metrics of requests, and changes of the settings.

use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetSite, KEY};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::Value;

async fn wait_for_events(site: &FleetSite, id: &str, expected: &[&str]) -> Vec<Value> {
    wait_for("logged lines", async || {
        let lines = site.instances[0].log_about(id);
        let events: Vec<_> = lines
            .iter()
            .filter_map(|line| line["event"].as_str())
            .collect();
        let are_logged = expected.iter().all(|event| events.contains(event));
        are_logged.then_some(lines)
    })
    .await
}

#[test]
fn each_step_of_a_request_is_logged() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.caller(0)
            .generate("/draft/x", "draft-1", "a1")
            .await
            .unwrap();
        wait_for_events(&site, "draft-1", &["placed", "stream_ended"]).await;
        site.caller(0).get("/look/x", "look-1").await.unwrap();
        wait_for_events(&site, "look-1", &["answered"]).await;
        site.caller(0).get("/nowhere/x", "lost-1").await.unwrap();
        wait_for_events(&site, "lost-1", &["denied"]).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::LoseAnswer);
        }
        site.caller(0)
            .post("/book/x", "book-1", "body")
            .await
            .unwrap();
        wait_for_events(&site, "book-1", &["attempt_failed", "failed"]).await;
    });
}

#[test]
fn no_key_is_logged() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.caller(0).get("/look/x", "look-1").await.unwrap();
        wait_for_events(&site, "look-1", &["answered"]).await;
        for instance in &site.instances {
            assert!(!instance.process.output().contains(KEY));
        }
    });
}

#[test]
fn metrics_count_requests_and_failures() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::LoseAnswer);
        }
        site.caller(0)
            .post("/book/x", "book-1", "body")
            .await
            .unwrap();
        site.caller(0)
            .generate("/draft/x", "draft-1", "")
            .await
            .unwrap();
        wait_for("the metrics of both requests", async || {
            let text = site.metrics(0).await;
            let lines = [
                "mimosabay_requests_total{outcome=\"Answered\"} 1",
                "mimosabay_requests_total{outcome=\"Broken\"} 1",
                "mimosabay_attempt_failures_total{failure=\"Broken\"} 1",
                "mimosabay_first_event_seconds_count 1",
                "mimosabay_first_event_by_forecast_count",
                "mimosabay_log_lines_left_out 0",
                "mimosabay_open_requests 0",
                "mimosabay_configuration_version 1",
            ];
            lines.iter().all(|line| text.contains(line)).then_some(())
        })
        .await;
    });
}

#[test]
fn changed_settings_are_applied_without_dropping_a_request() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let mut stream = site
            .caller(0)
            .open_stream("/draft/x", "one", "")
            .await
            .unwrap();
        stream.read_first_event().await;
        site.instances[0].change_settings("graceS = 8", "graceS = 9");
        site.instances[0].process.hang_up();
        wait_for("a reload", async || {
            let log = site.instances[0].log();
            let mut reloads = log.iter().filter(|line| line["event"] == "reload");
            reloads.any(|line| line["is_changed"] == true).then_some(())
        })
        .await;
        assert!(stream.read_to_end().await.is_some());
        site.instances[0].change_settings("graceS", "not a setting at all");
        site.instances[0].process.hang_up();
        wait_for("a refused reload", async || {
            site.instances[0].has_logged("reload_failed").then_some(())
        })
        .await;
        assert_eq!(
            site.caller(0).get("/look/x", "two").await.unwrap().status,
            200
        );
    });
}
