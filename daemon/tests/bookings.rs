//! Work that is not idempotent runs at most once, and `ran` in the answer is correct.

use mimosabay_core::cases;
use mimosabay_core::resource::Kind;
use mimosabay_standin::harness::{Reply, Site, SiteOptions, block_on, wait_for};
use serde_json::{Value, json};

const BOOK: &str = "/orders/book";
const ORDER: &str = "40 boxes of soap";

cases! {
    reports_correct_ran_without_a_key;
    connection_lost_before_the_effect: (&json!({ "crash_before": 1 }), "unknown", 0);
    answer_lost_after_the_effect: (&json!({ "lose_answers": 1 }), "unknown", 1);
}

fn reports_correct_ran_without_a_key(fault: &Value, ran: &str, bookings: usize) {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        site.plain_servers[0].control.set_faults(fault).await;
        let reply = site.caller(0).post(BOOK, ORDER).await.unwrap();
        assert_eq!((reply.status, reply.ran()), (502, ran), "{}", reply.body);
        let record = site.plain_servers[0].fetch_record().await;
        assert_eq!(record.calls.len(), 1, "the call was sent again");
        assert_eq!(record.bookings.len(), bookings);
    });
}

#[test]
fn lookup_is_repeated_after_a_lost_answer() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "lose_answers": 1 });
        site.plain_servers[0].control.set_faults(&fault).await;
        let reply = site.caller(0).get("/orders/stock").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(site.plain_servers[0].fetch_record().await.calls.len(), 2);
    });
}

#[test]
fn route_decides_what_may_be_repeated() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let spec = json!({
            "target": { "plain": { "pool": "desk", "path_prefix": "/search" } },
            "idempotent": true,
        });
        site.apply(Kind::Route, "search", spec).await.unwrap();
        let caller = site.caller(0);
        wait_for("the route in force", async || {
            let reply = caller.post("/search/items", "soap").await.unwrap();
            (reply.status == 200).then_some(())
        })
        .await;
        let fault = json!({ "lose_answers": 1 });
        site.plain_servers[0].control.set_faults(&fault).await;
        let reply = caller.post("/search/items", "soap").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    });
}

#[test]
fn caller_that_leaves_a_booking_does_not_undo_it() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "slow_ms": 300 });
        site.plain_servers[0].control.set_faults(&fault).await;
        let caller = site.caller(0);
        let arrived = wait_for("the call at the service", async || {
            let record = site.plain_servers[0].fetch_record().await;
            (!record.calls.is_empty()).then_some(())
        });
        tokio::select! {
            reply = caller.post(BOOK, ORDER) => panic!("answered: {reply:?}"),
            () = arrived => {}
        }
        drop(caller);
        wait_for("the booking", async || {
            let record = site.plain_servers[0].fetch_record().await;
            (record.bookings.len() == 1).then_some(())
        })
        .await;
        assert_eq!(site.plain_servers[0].fetch_record().await.calls.len(), 1);
    });
}

#[test]
fn repeat_with_the_same_key_gets_the_same_answer() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let first = book(&site, 0, ORDER).await;
        assert_eq!(first.body["booking"], 1, "{}", first.body);
        for index in 0..site.instances.len() {
            let repeat = book(&site, index, ORDER).await;
            assert_eq!(repeat.body, first.body);
            assert_eq!(repeat.status, 200);
        }
        assert_eq!(site.plain_servers[0].fetch_record().await.bookings.len(), 1);
    });
}

#[test]
fn key_with_another_body_is_refused() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        book(&site, 0, ORDER).await;
        let other = book(&site, 1, "4 mops").await;
        assert_eq!((other.status, other.code()), (422, "key_reused"));
        assert_eq!(site.plain_servers[0].fetch_record().await.bookings.len(), 1);
    });
}

#[test]
fn concurrent_repeats_run_once() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "slow_ms": 200 });
        site.plain_servers[0].control.set_faults(&fault).await;
        let repeats = (0..9).map(|index| book(&site, index % 3, ORDER));
        let replies = futures::future::join_all(repeats).await;
        for reply in replies {
            let is_same = reply.status == 200 && reply.body["booking"] == 1;
            assert!(is_same || reply.code() == "in_doubt", "{}", reply.body);
        }
        assert_eq!(site.plain_servers[0].fetch_record().await.bookings.len(), 1);
    });
}

#[test]
fn repeat_after_a_lost_answer_does_not_run_again() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "lose_answers": 1 });
        site.plain_servers[0].control.set_faults(&fault).await;
        for index in 0..site.instances.len() {
            let reply = book(&site, index, ORDER).await;
            assert_eq!(reply.ran(), "unknown", "{}", reply.body);
        }
        assert_eq!(site.plain_servers[0].fetch_record().await.bookings.len(), 1);
    });
}

#[test]
fn repeat_after_the_entry_was_killed_does_not_run_again() {
    block_on(async {
        let mut site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "slow_ms": 500 });
        site.plain_servers[0].control.set_faults(&fault).await;
        let caller = site.caller(0).header("idempotency-key", "order-1");
        let arrived = wait_for("the call at the service", async || {
            let record = site.plain_servers[0].fetch_record().await;
            (!record.calls.is_empty()).then_some(())
        });
        tokio::select! {
            reply = caller.post(BOOK, ORDER) => panic!("answered: {reply:?}"),
            () = arrived => {}
        }
        site.instances[0].process.kill();
        let repeat = book(&site, 1, ORDER).await;
        let is_correct = repeat.status == 200 || repeat.ran() == "unknown";
        assert!(is_correct, "{}", repeat.body);
        assert_eq!(site.plain_servers[0].fetch_record().await.calls.len(), 1);
    });
}

#[test]
fn keyed_booking_is_refused_while_the_store_is_down() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "down": true });
        site.platform_control.set_faults(&fault).await;
        let reply = book(&site, 0, ORDER).await;
        assert_eq!((reply.status, reply.code()), (503, "store_unavailable"));
        assert_eq!(reply.ran(), "no");
        assert!(reply.headers.contains_key("retry-after"));
        assert!(site.plain_servers[0].fetch_record().await.calls.is_empty());
    });
}

#[test]
fn store_that_loses_an_answer_causes_no_second_booking() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let fault = json!({ "lose_answers": 1 });
        site.platform_control.set_faults(&fault).await;
        let first = book(&site, 0, ORDER).await;
        let repeat = book(&site, 1, ORDER).await;
        assert!(site.plain_servers[0].fetch_record().await.bookings.len() <= 1);
        for reply in [first, repeat] {
            let is_correct = reply.status == 200 || reply.ran() != "yes";
            assert!(is_correct, "{}", reply.body);
        }
    });
}

async fn book(site: &Site, index: usize, order: &str) -> Reply {
    let caller = site.caller(index).header("idempotency-key", "order-1");
    caller.post(BOOK, order).await.unwrap()
}
