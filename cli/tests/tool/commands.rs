//! Exit codes and output of the tool, run against the stand-in platform.

use crate::support::{Site, adapter, organisation, run};
use serde_json::{Value, json};

#[tokio::test]
async fn apply_creates_changes_and_skips_unchanged_resources() {
    let site = Site::start().await;
    let created = site.apply(&organisation("clinics", 10)).await;
    assert_eq!(
        (created.code, created.stdout.as_str()),
        (0, "organisation/clinics created (generation 1)\n")
    );
    site.accept_all().await;
    let same = site.apply(&organisation("clinics", 10)).await;
    assert_eq!(
        same.stdout,
        "organisation/clinics unchanged (generation 1)\n"
    );
    let changed = site.apply(&organisation("clinics", 20)).await;
    assert!(
        changed.stdout.starts_with("organisation/clinics changed"),
        "{}",
        changed.stdout
    );
}

#[tokio::test]
async fn apply_takes_resources_in_any_order() {
    let site = Site::start().await;
    let route = json!({"kind": "route", "name": "notes",
                       "spec": {"target": {"model": {"adapter": "tender"}},
                                "organisations": ["clinics"]}});
    let resources = json!([route, adapter("tender", "v1"), organisation("clinics", 10)]);
    let outcome = site.apply(&resources).await;
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
}

#[tokio::test]
async fn one_invalid_resource_prevents_all_writes() {
    let site = Site::start().await;
    let resources = json!([organisation("clinics", 10), organisation("schools", 0)]);
    let outcome = site.apply(&resources).await;
    assert_eq!(outcome.code, 6);
    assert_eq!(
        outcome.stderr,
        "mimosabay: rejected: organisation/schools: field `rate_tokens_per_s` is 0, \
         allowed: a whole number from 1 to 1000000000000\nnothing was written\n"
    );
    assert_eq!(site.json(&["get", "organisation"]).await, json!([]));
}

#[tokio::test]
async fn what_get_prints_can_be_applied_again() {
    let site = Site::start().await;
    site.apply(&organisation("clinics", 10)).await;
    site.accept_all().await;
    let mut resource = site.json(&["get", "organisation", "clinics"]).await;
    assert_eq!(resource["changed_by"], "ann");
    assert_eq!(resource["status"]["in_force"], 3);
    resource["spec"]["rate_tokens_per_s"] = json!(30);
    assert_eq!(site.apply(&resource).await.code, 0);
    let again = site.apply(&resource).await;
    assert_eq!(again.code, 3);
    assert!(again.stderr.contains("by ann"), "{}", again.stderr);
}

#[tokio::test]
async fn concurrent_apply_reports_a_conflict_naming_the_other_operator() {
    let site = Site::start().await;
    site.apply(&organisation("clinics", 10)).await;
    site.accept_all().await;
    let read = site.json(&["get", "organisation", "clinics"]).await;
    let with_rate = |rate: u64| {
        let mut resource = read.clone();
        resource["spec"]["rate_tokens_per_s"] = json!(rate);
        resource
    };
    let (bob, eve) = (with_rate(20), with_rate(30));
    let args = ["apply", "-f", "-"];
    let (bob, eve) = tokio::join!(
        site.run_as("bob", &args, &bob),
        site.run_as("eve", &args, &eve)
    );
    let (loser, winner, rate) = if bob.code == 0 {
        (eve, "bob", 20)
    } else {
        (bob, "eve", 30)
    };
    assert_eq!(loser.code, 3, "{}", loser.stderr);
    assert!(
        loser.stderr.contains(&format!("by {winner}")),
        "{}",
        loser.stderr
    );
    let now = site.json(&["get", "organisation", "clinics"]).await;
    assert_eq!(
        (&now["changed_by"], &now["spec"]["rate_tokens_per_s"]),
        (&json!(winner), &json!(rate))
    );
}

#[tokio::test]
async fn concurrent_edits_of_one_adapter_never_overwrite_each_other() {
    let site = Site::start().await;
    site.apply(&adapter("tender", "v1")).await;
    site.accept_all().await;
    // Slow responses make both tools read before either writes in most runs. The assertions hold in
    // either case.
    site.set_faults(&json!({"slow_ms": 100})).await;
    let promote = ["adapter", "promote", "tender", "v2"];
    let withdraw_v2 = json!({"kind": "adapter", "name": "tender", "spec": {
        "base_model": "base", "pool": "chat", "current_version": "v1",
        "versions": [{"version": "v1", "source": "a"}]}});
    let args = ["apply", "-f", "-"];
    let (promoted, removed) = tokio::join!(
        site.run_as("bob", &promote, &Value::Null),
        site.run_as("eve", &args, &withdraw_v2)
    );
    let now = site.json(&["get", "adapter", "tender"]).await;
    match (promoted.code, removed.code) {
        (0, 3) => assert_eq!(now["spec"]["current_version"], "v2"),
        (3 | 6, 0) => assert_eq!(now["spec"]["versions"].as_array().map(Vec::len), Some(1)),
        (0, 0) => assert_eq!(now["changed_by"], "eve"),
        codes => panic!("{codes:?} {} {}", promoted.stderr, removed.stderr),
    }
}

#[tokio::test]
async fn write_with_lost_response_is_reported_as_done() {
    let site = Site::start().await;
    site.set_faults(&json!({"lose_answers": 1})).await;
    let outcome = site.apply(&organisation("clinics", 10)).await;
    assert_eq!(
        (outcome.code, outcome.stdout.as_str()),
        (0, "organisation/clinics created (generation 1)\n")
    );
}

#[tokio::test]
async fn deletion_with_lost_response_is_reported_as_done() {
    let site = Site::start().await;
    site.apply(&organisation("clinics", 10)).await;
    site.set_faults(&json!({"lose_answers": 1})).await;
    let outcome = site.run(&["delete", "organisation", "clinics"]).await;
    assert_eq!(
        (outcome.code, outcome.stdout.as_str()),
        (
            0,
            "organisation/clinics no longer exists; the store's response was lost\n"
        )
    );
}

#[tokio::test]
async fn a_platform_that_is_down_has_its_own_exit_code() {
    let site = Site::start().await;
    site.set_faults(&json!({"down": true})).await;
    assert_eq!(site.run(&["get", "organisation"]).await.code, 5);
}

#[tokio::test]
async fn wait_ends_when_the_change_is_in_force() {
    let site = Site::start().await;
    let args = ["apply", "-f", "-", "--wait"];
    let resource = organisation("clinics", 10);
    let apply = site.run_as("ann", &args, &resource);
    let accept = async {
        while site.json(&["get", "organisation"]).await == json!([]) {}
        site.accept_all().await;
    };
    let (outcome, ()) = tokio::join!(apply, accept);
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    assert!(
        outcome.stdout.contains("in force everywhere"),
        "{}",
        outcome.stdout
    );
}

#[tokio::test]
async fn wait_reports_a_timeout() {
    let site = Site::start().await;
    let args = ["apply", "-f", "-", "--wait", "--timeout-ms", "1"];
    let outcome = site
        .run_as("ann", &args, &organisation("clinics", 10))
        .await;
    assert_eq!(outcome.code, 1);
    assert!(
        outcome.stderr.contains("has not been validated yet"),
        "{}",
        outcome.stderr
    );
    assert!(
        outcome.stderr.contains("organisation/clinics created"),
        "{}",
        outcome.stderr
    );
}

#[tokio::test]
async fn a_key_is_shown_once_and_stored_as_a_hash() {
    let site = Site::start().await;
    site.apply(&organisation("clinics", 10)).await;
    let created = site.json(&["key", "create", "clinics", "desk"]).await;
    let secret = created["key"].as_str().expect("the key is shown");
    let stored = site.json(&["get", "key", "desk"]).await;
    assert_eq!(
        stored["spec"]["sha256"],
        *mimosabay_operator::key::hash(secret)
    );
    assert!(!stored.to_string().contains(secret));
    let twice = site.run(&["key", "create", "clinics", "desk"]).await;
    assert_eq!(twice.code, 3);
    assert!(twice.stderr.contains("created by ann"), "{}", twice.stderr);
}

#[tokio::test]
async fn a_withdrawn_key_stays_withdrawn() {
    let site = Site::start().await;
    site.apply(&organisation("clinics", 10)).await;
    site.json(&["key", "create", "clinics", "desk"]).await;
    assert_eq!(
        site.json(&["key", "withdraw", "desk"]).await["was_changed"],
        true
    );
    assert_eq!(
        site.json(&["key", "withdraw", "desk"]).await["was_changed"],
        false
    );
    let mut back = site.json(&["get", "key", "desk"]).await;
    back["spec"]["withdrawn"] = json!(false);
    assert_eq!(site.apply(&back).await.code, 6);
    assert_eq!(site.run(&["delete", "key", "desk"]).await.code, 6);
}

#[tokio::test]
async fn promotion_needs_a_version_that_exists() {
    let site = Site::start().await;
    site.apply(&adapter("tender", "v1")).await;
    assert_eq!(
        site.run(&["adapter", "promote", "tender", "v9"]).await.code,
        6
    );
    assert_eq!(
        site.run(&["adapter", "promote", "stock", "v1"]).await.code,
        4
    );
    assert_eq!(
        site.run(&["adapter", "promote", "tender", "v2"]).await.code,
        0
    );
    let now = site.json(&["get", "adapter", "tender"]).await;
    assert_eq!(now["spec"]["current_version"], "v2");
}

#[tokio::test]
async fn a_resource_in_use_is_not_deleted() {
    let site = Site::start().await;
    let route = json!({"kind": "route", "name": "notes",
                       "spec": {"target": {"model": {"adapter": "tender"}}}});
    site.apply(&json!([adapter("tender", "v1"), route])).await;
    let outcome = site.run(&["delete", "adapter", "tender"]).await;
    assert_eq!(outcome.code, 6);
    assert!(
        outcome.stderr.contains("used by route/notes"),
        "{}",
        outcome.stderr
    );
    assert_eq!(site.run(&["delete", "route", "notes"]).await.code, 0);
    assert_eq!(site.run(&["delete", "adapter", "tender"]).await.code, 0);
    assert_eq!(site.run(&["delete", "adapter", "tender"]).await.code, 4);
}

#[tokio::test]
async fn describe_shows_the_rejection_reason_and_changed_fields() {
    let site = Site::start().await;
    site.apply(&organisation("clinics", 10)).await;
    site.accept_all().await;
    let mut wrong = site
        .platform
        .get("spec-organisation", "clinics")
        .await
        .expect("the organisation exists");
    wrong.value["spec"]["burst_tokens"] = json!(0);
    let precondition = mimosabay_platform::Precondition::Version(wrong.version);
    let put = site
        .platform
        .put("spec-organisation", "clinics", &wrong.value, precondition);
    put.await.expect("no one else writes it");
    site.accept_all().await;
    let outcome = site.run(&["describe", "organisation", "clinics"]).await;
    assert!(outcome.stdout.contains("rejected"), "{}", outcome.stdout);
    assert!(
        outcome.stdout.contains("field `burst_tokens` is 0"),
        "{}",
        outcome.stdout
    );
    assert!(
        outcome.stdout.contains("burst_tokens: 100 -> 0"),
        "{}",
        outcome.stdout
    );
    let status = site.json(&["status"]).await;
    assert_eq!(
        status["configuration"]["exceptions"][0]["resource"],
        "organisation/clinics"
    );
}

#[tokio::test]
async fn watch_prints_changes() {
    let site = Site::start().await;
    let watch = site.run(&["watch", "organisation", "--count", "1", "--output", "json"]);
    let change = async {
        // The watch starts at the revision that is current when it begins, so the changes continue
        // until it ends.
        for rate in 1.. {
            site.apply(&organisation("clinics", rate)).await;
        }
    };
    tokio::select! {
        outcome = watch => {
            let event: Value = serde_json::from_str(&outcome.stdout).expect("a line of JSON");
            assert_eq!(event["name"], "clinics");
        }
        () = change => unreachable!("changes go on"),
    }
}

#[tokio::test]
async fn status_counts_what_is_in_force() {
    let site = Site::start().await;
    let server = json!({"kind": "backend_server", "name": "desk-1", "spec": {
        "address": "127.0.0.1:8000", "zone": "a", "kind": "plain", "pool": "desk"}});
    site.apply(&json!([organisation("clinics", 10), server]))
        .await;
    site.accept_all().await;
    let status = site.json(&["status"]).await;
    assert_eq!(status["configuration"]["in_force"], 3);
    assert_eq!(status["configuration"]["exceptions"], json!([]));
    assert_eq!(status["servers"][0]["name"], "desk-1");
    let text = site.run(&["status"]).await.stdout;
    assert!(
        text.contains("2 resources, in force on 3 of 3 instances"),
        "{text}"
    );
}

#[tokio::test]
async fn wrong_command_lines_have_their_own_exit_code() {
    assert_eq!(run(&["get", "organisation"], "").await.code, 2);
    assert_eq!(
        run(&["get", "colour", "--platform", "127.0.0.1:1"], "")
            .await
            .code,
        2
    );
    assert_eq!(
        run(&["get", "organisation", "--platform", "localhost"], "")
            .await
            .code,
        2
    );
}

#[tokio::test]
async fn help_names_every_exit_code() {
    let help = run(&["--help"], "").await.stdout;
    for line in [
        "0  done",
        "3  conflict",
        "4  no such",
        "5  the platform",
        "6  rejected",
    ] {
        assert!(help.contains(line), "{line}");
    }
}

#[tokio::test]
async fn completions_contain_the_commands() {
    let script = run(&["completions", "bash"], "").await.stdout;
    assert!(script.contains("check-settings"));
}

#[tokio::test]
async fn settings_are_checked_line_by_line() {
    let outcome = run(&["check-settings", "-"], "[log]\nlevel = loud\n").await;
    assert_eq!(outcome.code, 6);
    let line =
        "-: line 2: [log] level: `loud` is not valid, allowed: error, warn, info, debug, trace";
    assert!(outcome.stderr.contains(line), "{}", outcome.stderr);
}

#[tokio::test]
async fn burn_report_adds_up_all_instances() {
    let site = Site::start().await;
    let objective = json!({"kind": "objective", "name": "answers",
                           "spec": {"indicator": "availability", "target": 0.9}});
    site.apply(&objective).await;
    for instance in ["instance-1", "instance-2"] {
        site.store_outcomes(instance, 40, 10).await;
    }
    let report = site.json(&["report", "burn"]).await;
    let line = &report["objectives"][0];
    assert_eq!(line["organisation"], "clinics");
    assert_eq!(
        line["windows"][3]["tally"],
        json!({"total": 100.0, "bad": 20.0})
    );
    let text = site.run(&["report", "burn"]).await.stdout;
    assert!(text.contains("availability"), "{text}");
    let html = site
        .run(&["report", "burn", "--output", "html"])
        .await
        .stdout;
    assert!(
        html.starts_with("<!DOCTYPE html>") && html.contains("<svg"),
        "{html}"
    );
    assert!(!html.contains("http"), "the page refers to nothing outside");
}

#[tokio::test]
async fn burn_report_without_counters_says_so() {
    let site = Site::start().await;
    let text = site.run(&["report", "burn"]).await.stdout;
    assert!(text.starts_with("No objective"), "{text}");
}
