//! A withdrawn key is refused within seconds on all instances, also for queued requests.

use mimosabay_core::cases;
use mimosabay_core::resource::Kind;
use mimosabay_operator::key;
use mimosabay_standin::engine;
use mimosabay_standin::harness::{
    CLINICS_KEY, Relay, Site, SiteOptions, block_on, wait_for, wait_up_to,
};
use serde_json::json;

const REFUSAL_LIMIT_MS: u64 = 3_000;

#[test]
fn queued_request_is_refused_and_never_runs() {
    block_on(async {
        let engine = engine::Options {
            batch: 1,
            ..engine::Options::default()
        };
        let site = Site::start(SiteOptions {
            engines: vec![engine],
            ..SiteOptions::default()
        })
        .await;
        let caller = site.caller(0);
        let mut running = caller.open_stream("tender", "first", 5_000).await.unwrap();
        running.read_parts(1).await.unwrap();
        let queued = site.caller(1);
        let queued = tokio::spawn(async move { queued.complete("tender", "second", 4).await });
        withdraw(&site).await;
        let reply = queued.await.unwrap().unwrap();
        assert_eq!((reply.status, reply.code()), (401, "withdrawn_key"));
        assert_eq!(reply.ran(), "no");
        assert!(site.runs().await.iter().all(|run| run.prompt != "second"));
    });
}

cases! {
    reaches_an_instance_without_the_store;
    cut_link_to_the_store: (Relay::cut);
    silent_link_to_the_store: (Relay::silence);
    silent_watch: (Relay::silence_open);
}

fn reaches_an_instance_without_the_store(fault: fn(&Relay)) {
    block_on(async {
        for disconnected in 0..3 {
            let site = Site::start(SiteOptions::default()).await;
            fault(&site.platform_links[disconnected]);
            withdraw(&site).await;
            assert_refused_everywhere(&site).await;
        }
    });
}

#[test]
fn watch_that_omits_the_change() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "skip_watches": 1, "skip_kind": "accepted" });
        site.platform_control.set_faults(&fault).await;
        withdraw(&site).await;
        assert_refused_everywhere(&site).await;
    });
}

#[test]
fn change_that_is_no_longer_kept_for_watches() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        site.platform_links[0].cut();
        withdraw(&site).await;
        let fault = json!({ "compact": true });
        site.platform_control.set_faults(&fault).await;
        site.platform_links[0].heal();
        assert_refused_everywhere(&site).await;
    });
}

#[test]
fn withdrawal_survives_the_restart_of_all_instances() {
    block_on(async {
        let mut site = Site::start(SiteOptions::default()).await;
        withdraw(&site).await;
        for index in 0..3 {
            site.instances[index].process.kill();
            site.remove_from_list(index, 0).await;
        }
        for index in 0..3 {
            site.add_instance(&format!("new-{index}")).await;
        }
        site.wait_ready().await;
        for index in 3..6 {
            let reply = site.caller(index).complete("tender", "a", 2).await.unwrap();
            assert_eq!((reply.status, reply.code()), (401, "withdrawn_key"));
        }
    });
}

#[test]
fn withdrawn_key_cannot_be_reinstated() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        withdraw(&site).await;
        let spec = json!({ "organisation": "clinics", "sha256": key::hash(CLINICS_KEY) });
        let rejected = site.apply(Kind::Key, "clinics-key", spec).await;
        assert!(rejected.unwrap_err().contains("withdrawn"));
        let caller = site.caller(0);
        wait_for("refusal of the key", async || {
            let reply = caller.complete("tender", "a", 2).await.unwrap();
            (reply.code() == "withdrawn_key").then_some(())
        })
        .await;
    });
}

async fn assert_refused_everywhere(site: &Site) {
    for index in 0..site.instances.len() {
        let caller = site.caller(index);
        let refused = wait_up_to(REFUSAL_LIMIT_MS, async || {
            let reply = caller.complete("tender", "a", 2).await.unwrap();
            (reply.code() == "withdrawn_key").then_some(())
        })
        .await;
        assert!(refused.is_some(), "instance {index} still serves the key");
    }
}

async fn withdraw(site: &Site) {
    let spec = json!({
        "organisation": "clinics",
        "sha256": key::hash(CLINICS_KEY),
        "withdrawn": true,
    });
    site.apply(Kind::Key, "clinics-key", spec).await.unwrap();
}
