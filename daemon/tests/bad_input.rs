//! Invalid input gets a typed error and leaves nothing running, and the next request is served.

use mimosabay_core::cases;
use mimosabay_core::resource::Kind;
use mimosabay_operator::key;
use mimosabay_standin::engine::Outcome;
use mimosabay_standin::harness::{CLINICS_KEY, Reply, Site, SiteOptions, block_on, wait_for};
use mimosabay_standin::text;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const COMPLETIONS: &str = "/v1/completions";
const READ_TIMEOUT_MS: u64 = 400;

cases! {
    refuses_body;
    no_json: ("{\"model\": ", 400, "bad_request");
    no_object: ("[1, 2]", 400, "bad_request");
    empty_body: ("", 400, "bad_request");
    no_model: (r#"{"prompt": "a"}"#, 400, "bad_request");
    model_is_a_number: (r#"{"model": 1, "prompt": "a"}"#, 400, "bad_request");
    no_prompt: (r#"{"model": "tender"}"#, 400, "bad_request");
    no_tokens: (r#"{"model": "tender", "prompt": "a", "max_tokens": 0}"#, 400, "bad_request");
    stream_is_text: (r#"{"model": "tender", "prompt": "a", "stream": "yes"}"#, 400, "bad_request");
    unknown_model: (r#"{"model": "nobody", "prompt": "a"}"#, 404, "unknown_model");
    unknown_version: (r#"{"model": "tender@9", "prompt": "a"}"#, 404, "unknown_version");
    plain_route_as_model: (r#"{"model": "orders", "prompt": "a"}"#, 404, "unknown_model");
}

fn refuses_body(body: &str, status: u16, code: &str) {
    block_on(async {
        let site = start().await;
        let reply = site.caller(0).post(COMPLETIONS, body).await.unwrap();
        assert_refused(&reply, status, code);
        assert_next_is_served(&site).await;
    });
}

#[test]
fn oversized_body() {
    block_on(async {
        let site = start().await;
        let body = json!({ "model": "tender", "prompt": "a ".repeat(4_000) });
        let reply = site.caller(0).post(COMPLETIONS, body.to_string()).await;
        assert_refused(&reply.unwrap(), 413, "too_large");
        assert_next_is_served(&site).await;
    });
}

#[test]
fn oversized_header() {
    block_on(async {
        let site = start().await;
        let caller = site.caller(0).header("x-request-id", &"a".repeat(20_000));
        let reply = caller.complete("tender", "a", 2).await.unwrap();
        assert!([400, 413, 431].contains(&reply.status), "{}", reply.status);
        assert_eq!(reply.code(), "too_large", "{}", reply.status);
        assert_eq!(reply.ran(), "no");
        assert_next_is_served(&site).await;
    });
}

#[test]
fn request_id_with_spaces() {
    block_on(async {
        let site = start().await;
        let caller = site.caller(0).header("x-request-id", "a b");
        let reply = caller.complete("tender", "a", 2).await.unwrap();
        assert_refused(&reply, 400, "bad_request");
        assert_next_is_served(&site).await;
    });
}

#[test]
fn no_key_or_an_unknown_one() {
    block_on(async {
        let site = start().await;
        let keyless = site.instances[0].caller();
        let reply = keyless.complete("tender", "a", 2).await.unwrap();
        assert_refused(&reply, 401, "unknown_key");
        let reply = keyless.key("mb_other").complete("tender", "a", 2).await;
        assert_refused(&reply.unwrap(), 401, "unknown_key");
        assert_next_is_served(&site).await;
    });
}

#[test]
fn withdrawn_key_stops_on_an_open_connection() {
    block_on(async {
        let site = start().await;
        let caller = site.caller(0);
        assert_eq!(caller.complete("tender", "a", 2).await.unwrap().status, 200);
        withdraw(&site).await;
        wait_for("refusal of a withdrawn key", async || {
            let reply = caller.complete("tender", "a", 2).await.unwrap();
            (reply.status != 200).then_some(reply)
        })
        .await;
        let reply = caller.complete("tender", "a", 2).await.unwrap();
        assert_refused(&reply, 401, "withdrawn_key");
    });
}

#[test]
fn another_organisation_is_refused() {
    block_on(async {
        let site = start().await;
        let spec = json!({
            "target": { "model": { "adapter": "reorder" } },
            "organisations": ["markets"],
        });
        site.apply(Kind::Route, "market-drafts", spec)
            .await
            .unwrap();
        let caller = site.caller(0);
        let reply = wait_for("the route in force", async || {
            let reply = caller.complete("market-drafts", "a", 2).await.unwrap();
            (reply.code() != "unknown_model").then_some(reply)
        })
        .await;
        assert_refused(&reply, 403, "forbidden");
        assert_next_is_served(&site).await;
    });
}

#[test]
fn slow_sending_caller() {
    block_on(async {
        let site = start().await;
        let address = &*site.instances[0].listed.caller_address;
        let mut slow = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: {address}\r\ncontent-length: 100\r\n\
             authorization: Bearer {CLINICS_KEY}\r\n\r\n{{\"model\": "
        );
        slow.write_all(head.as_bytes()).await.unwrap();
        assert_next_is_served(&site).await;
        let mut answer = String::new();
        slow.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert!(answer.contains(r#""code":"timeout""#), "{answer}");
        assert!(answer.contains(r#""ran":"no""#), "{answer}");
    });
}

#[test]
fn slow_sending_of_the_head() {
    block_on(async {
        let site = start().await;
        let address = &*site.instances[0].listed.caller_address;
        let mut slow = TcpStream::connect(address).await.unwrap();
        slow.write_all(b"POST /v1/comp").await.unwrap();
        let mut answer = Vec::new();
        // The connection is closed; a request without a complete head gets no answer.
        slow.read_to_end(&mut answer).await.unwrap();
        assert_next_is_served(&site).await;
    });
}

#[test]
fn caller_that_leaves_mid_stream() {
    block_on(async {
        let site = start().await;
        for index in 0..site.instances.len() {
            let caller = site.caller(index);
            let mut stream = caller.open_stream("tender", "a", 1_000).await.unwrap();
            stream.read_parts(3).await.unwrap();
            drop((stream, caller));
        }
        let runs = wait_for("end of the runs", async || {
            let runs = site.runs().await;
            let ended = runs.iter().all(|run| run.ended_ms.is_some());
            ended.then_some(runs)
        })
        .await;
        assert_eq!(runs.len(), site.instances.len());
        for run in runs {
            assert_eq!(run.outcome, Outcome::Cancelled, "{run:?}");
        }
        assert_next_is_served(&site).await;
    });
}

#[test]
fn caller_that_leaves_before_the_first_token() {
    block_on(async {
        let site = start().await;
        for engine in &site.engines {
            engine
                .control
                .set_faults(&json!({ "slow_ms": 2_000 }))
                .await;
        }
        let caller = site.caller(0);
        let call = caller.complete("tender", "a", 1_000);
        let arrived = wait_for("a run", async || {
            let runs = site.runs().await;
            (!runs.is_empty()).then_some(())
        });
        tokio::select! {
            reply = call => panic!("answered: {reply:?}"),
            () = arrived => {}
        }
        drop(caller);
        wait_for("end of the run", async || {
            let runs = site.runs().await;
            (runs[0].outcome == Outcome::Cancelled).then_some(())
        })
        .await;
        site.clear_faults().await;
        assert_next_is_served(&site).await;
    });
}

async fn start() -> Site {
    let settings = vec![
        ("limits", "max_body_bytes", "4096".to_owned()),
        ("limits", "max_header_bytes", "8192".to_owned()),
        ("limits", "read_timeout_ms", READ_TIMEOUT_MS.to_string()),
    ];
    Site::start(SiteOptions {
        instances: 2,
        settings,
        ..SiteOptions::default()
    })
    .await
}

async fn withdraw(site: &Site) {
    let spec = json!({
        "organisation": "clinics",
        "sha256": key::hash(CLINICS_KEY),
        "withdrawn": true,
    });
    site.apply(Kind::Key, "clinics-key", spec).await.unwrap();
}

fn assert_refused(reply: &Reply, status: u16, code: &str) {
    assert_eq!(
        (reply.status, reply.code()),
        (status, code),
        "{}",
        reply.body
    );
    assert_eq!(reply.ran(), "no");
}

async fn assert_next_is_served(site: &Site) {
    for index in 0..site.instances.len() {
        let reply = site.caller(index).complete("tender", "next", 4).await;
        let reply = reply.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(
            reply.text(),
            text::generate_text("store://tender/2", "next", 4)
        );
    }
}
