//! Requests through real processes: callers, three instances, engines and a plain service.

use mimosabay_core::cases;
use mimosabay_standin::harness::{
    CLINICS_KEY, MARKETS_KEY, Part, Site, SiteOptions, block_on, wait_for,
};
use mimosabay_standin::text;
use serde_json::{Value, json};

const PROMPT: &str = "soap and mops";
const TOKENS: u64 = 12;

cases! {
    answers_completion;
    adapter_and_version: ("tender@1", "store://tender/1", false);
    current_version: ("tender", "store://tender/2", false);
    route: ("drafting", "store://tender/1", false);
    streamed_adapter_and_version: ("tender@2", "store://tender/2", true);
    streamed_current_version: ("reorder", "store://reorder/1", true);
    streamed_route: ("drafting", "store://tender/1", true);
}

fn answers_completion(model: &str, source: &str, stream: bool) {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        for index in 0..site.instances.len() {
            let caller = site.caller(index);
            let text = if stream {
                caller.stream(model, PROMPT, TOKENS).await.unwrap()
            } else {
                let reply = caller.complete(model, PROMPT, TOKENS).await.unwrap();
                assert_eq!(reply.status, 200, "{}", reply.body);
                assert_eq!(reply.body["usage"], usage());
                reply.text().to_owned()
            };
            assert_eq!(text, text::generate_text(source, PROMPT, TOKENS));
        }
        check_engines(&site).await;
    });
}

#[test]
fn chat_completion() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let body = chat(false);
        let reply = site.caller(0).post("/v1/chat/completions", body).await;
        let reply = reply.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body["object"], "chat.completion");
        let expected = text::generate_text("store://tender/2", PROMPT, TOKENS);
        assert_eq!(reply.text(), expected);
    });
}

#[test]
fn streamed_chat_completion() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let stream = site
            .caller(1)
            .open_stream_at("/v1/chat/completions", chat(true))
            .await
            .unwrap();
        assert_eq!(stream.headers["content-type"], "text/event-stream");
        let expected = text::generate_text("store://tender/2", PROMPT, TOKENS);
        assert_eq!(stream.read_to_end().await.unwrap(), expected);
    });
}

#[test]
fn stream_ends_with_usage_and_mark() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let caller = site.caller(0);
        let mut stream = caller.open_stream("tender", PROMPT, 3).await.unwrap();
        stream.read_parts(3).await.unwrap();
        let Part::Usage(usage) = stream.next().await.unwrap() else {
            panic!("no usage after the text");
        };
        assert_eq!(usage["completion_tokens"], 3);
        assert_eq!(stream.next().await.unwrap(), Part::Done);
    });
}

#[test]
fn models_are_listed() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let reply = site.caller(0).get("/v1/models").await.unwrap();
        let names: Vec<&Value> = reply.body["data"]
            .as_array()
            .unwrap()
            .iter()
            .map(|model| &model["id"])
            .collect();
        assert_eq!(names, ["drafting", "reorder", "tender"]);
        let keyless = site.instances[0].caller().get("/v1/models").await.unwrap();
        assert_eq!((keyless.status, keyless.code()), (401, "unknown_key"));
    });
}

#[test]
fn plain_calls_by_route() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        for index in 0..site.instances.len() {
            let caller = site.caller(index);
            let lookup = caller.get("/orders/stock?item=soap").await.unwrap();
            assert_eq!(lookup.status, 200, "{}", lookup.body);
            assert_eq!(lookup.body["method"], "GET");
            let order = format!("order {index}");
            let booked = caller.post("/orders/book", order).await.unwrap();
            assert_eq!(booked.body["booking"], index + 1);
        }
        let record = site.plain_servers[0].fetch_record().await;
        let bodies: Vec<&str> = record.bookings.iter().map(|made| &*made.body).collect();
        assert_eq!(bodies, ["order 0", "order 1", "order 2"]);
        assert_eq!(record.calls[0].path, "/orders/stock?item=soap");
    });
}

#[test]
fn open_route_needs_no_key() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let caller = site.instances[0].caller();
        let reply = caller.get("/notices/today").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        let closed = caller.get("/orders/stock").await.unwrap();
        assert_eq!((closed.status, closed.code()), (401, "unknown_key"));
    });
}

#[test]
fn keys_reach_no_server_and_no_log() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        for index in 0..site.instances.len() {
            for key in [CLINICS_KEY, MARKETS_KEY, "mb_not-a-key"] {
                let caller = site.instances[index].caller().key(key);
                caller.complete("tender", PROMPT, 2).await.unwrap();
                caller.stream("tender", PROMPT, 2).await.ok();
                caller.get("/orders/stock").await.unwrap();
            }
        }
        let mut headers: Vec<(String, String)> = Vec::new();
        headers.extend(site.runs().await.into_iter().flat_map(|run| run.headers));
        let plain = site.plain_servers[0].fetch_record().await;
        headers.extend(plain.calls.into_iter().flat_map(|call| call.headers));
        assert!(!headers.is_empty());
        for (name, value) in headers {
            assert_ne!(name, "authorization");
            assert!(!value.contains("mb_"), "{name}: {value}");
        }
        for instance in &site.instances {
            let log = instance.process.output();
            assert!(log.contains("request answered"));
            assert!(!log.contains("mb_"), "{log}");
        }
    });
}

#[test]
fn one_request_id_over_all_processes() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let caller = site.caller(0).header("x-request-id", "order-17");
        let reply = caller.complete("tender", PROMPT, 2).await.unwrap();
        let id = reply.headers["x-request-id"].to_str().unwrap().to_owned();
        assert!(id.starts_with("order-17"), "{id}");
        let runs = site.runs().await;
        assert_eq!(runs.len(), 1);
        assert_eq!(*runs[0].request_id, *id);
        wait_for("the request's log line", async || {
            let log = site.instances[0].process.output();
            log.contains(&id).then_some(())
        })
        .await;
    });
}

#[test]
fn health_and_planned_stop() {
    block_on(async {
        let settings = vec![("stop", "balancer_lag_ms", "1500".to_owned())];
        let mut site = Site::start(SiteOptions {
            settings,
            ..SiteOptions::default()
        })
        .await;
        let caller = site.caller(0);
        assert_eq!(caller.get("/healthz").await.unwrap().status, 200);
        assert_eq!(caller.get("/readyz").await.unwrap().status, 200);
        site.instances[0].process.terminate();
        wait_for("not ready", async || {
            let ready = caller.get("/readyz").await.ok()?;
            (ready.status == 503).then_some(())
        })
        .await;
        // The balancer has not noticed the stop yet, so calls still arrive and are served.
        let reply = caller.complete("tender", PROMPT, 2).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        let ended = site.instances[0].process.wait_for_exit().await;
        assert_eq!(ended.code(), Some(0));
    });
}

/// Checks that no engine recorded a violation and that no run is still open.
async fn check_engines(site: &Site) {
    for engine in &site.engines {
        let record = engine.fetch_record().await;
        assert_eq!(record.violations, Vec::<String>::new());
        assert!(record.runs.iter().all(|run| run.ended_ms.is_some()));
    }
}

fn chat(stream: bool) -> String {
    json!({
        "model": "tender",
        "messages": [{ "role": "user", "content": PROMPT }],
        "max_tokens": TOKENS,
        "stream": stream,
    })
    .to_string()
}

fn usage() -> Value {
    let prompt_tokens = text::count_tokens(PROMPT);
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": TOKENS,
        "total_tokens": prompt_tokens + TOKENS,
    })
}
