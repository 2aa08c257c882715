//! A withdrawn key stops working within seconds, wherever its requests are.

use mimosabay_core::resource::Kind;
use mimosabay_operator::key;
use mimosabay_standin::engine;
use mimosabay_standin::harness::{CLINICS_KEY, Site, SiteOptions, block_on, wait_for, wait_up_to};
use serde_json::json;

const LIMIT_MS: u64 = 3_000;

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

#[test]
fn instance_that_lost_the_store_hears_it_from_its_peers() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        withdraw(&site).await;
        // All connections to the store are lost after the change was accepted.
        let fault = json!({ "down": true });
        site.platform_control.faults(&fault).await;
        for index in 0..site.instances.len() {
            let caller = site.caller(index);
            let refused = wait_up_to(LIMIT_MS, async || {
                let reply = caller.complete("tender", "a", 2).await.unwrap();
                (reply.code() == "withdrawn_key").then_some(())
            })
            .await;
            assert!(refused.is_some(), "instance {index}");
        }
    });
}

#[test]
fn withdrawal_survives_the_restart_of_all_instances() {
    block_on(async {
        let mut site = Site::start(SiteOptions::default()).await;
        withdraw(&site).await;
        for index in 0..3 {
            site.instances[index].process.kill();
            site.unlist(index, 0).await;
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
fn withdrawn_key_never_comes_back() {
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

async fn withdraw(site: &Site) {
    let spec = json!({
        "organisation": "clinics",
        "sha256": key::hash(CLINICS_KEY),
        "withdrawn": true,
    });
    site.apply(Kind::Key, "clinics-key", spec).await.unwrap();
}
