//! Tests the stand-ins through the clients that the instances use.

use mimosabay_backend::{Engine, GenerateOrder, Generation, LoadOrder, Part, UnloadOrder};
use mimosabay_platform::{Category, Instance, InstanceState, Platform, Precondition};
use mimosabay_standin::engine::{self, Outcome, Record};
use mimosabay_standin::harness::{Control, block_on, wait_for};
use mimosabay_standin::{platform, text};
use serde_json::json;
use tokio::net::TcpListener;

const SOURCE: &str = "store://tender/1";
const PROMPT: &str = "soap and mops";

#[test]
fn writes_are_conditional() {
    block_on(async {
        let (platform, _) = start_platform().await;
        let value = json!({ "a": 1 });
        let first = platform.put("key", "a", &value, Precondition::Absent).await;
        let version = first.unwrap().version;
        let second = platform.put("key", "a", &value, Precondition::Absent).await;
        let conflict = second.unwrap_err();
        assert_eq!(conflict.classify(), Category::Conflict);
        assert_eq!(conflict.current().unwrap().version, version);
        let stale = Precondition::Version(version + 1);
        let stale = platform.put("key", "a", &value, stale).await.unwrap_err();
        assert_eq!(stale.classify(), Category::Conflict);
        let absent = platform.delete("key", "b", 1).await.unwrap_err();
        assert_eq!(absent.classify(), Category::NotFound);
        let large = json!("a".repeat(1_000_000));
        let large = platform.put("key", "c", &large, Precondition::Absent).await;
        assert_eq!(large.unwrap_err().classify(), Category::TooLarge);
    });
}

#[test]
fn watch_gives_the_newest_version_of_each_change() {
    block_on(async {
        let (platform, control) = start_platform().await;
        let first = platform
            .put("key", "a", &json!(1), Precondition::Absent)
            .await;
        let version = Precondition::Version(first.unwrap().version);
        let second = platform.put("key", "a", &json!(2), version).await.unwrap();
        platform
            .put("other", "b", &json!(1), Precondition::Absent)
            .await
            .unwrap();
        let deleted = platform.delete("key", "a", second.version).await.unwrap();
        let batch = platform.watch(&["key"], 0, 0).await.unwrap();
        assert_eq!(batch.events, std::slice::from_ref(&deleted));
        assert_eq!(batch.revision, deleted.version);
        control.set_faults(&json!({ "compact": true })).await;
        let gone = platform.watch(&["key"], 0, 0).await.unwrap_err();
        assert_eq!(gone.classify(), Category::Gone);
    });
}

#[test]
fn lost_answer_hides_a_write_that_took_effect() {
    block_on(async {
        let (platform, control) = start_platform().await;
        control.set_faults(&json!({ "lose_answers": 1 })).await;
        let lost = platform
            .put("key", "a", &json!(1), Precondition::Absent)
            .await;
        assert_eq!(lost.unwrap_err().classify(), Category::Unknown);
        assert_eq!(platform.get("key", "a").await.unwrap().value, json!(1));
        control.set_faults(&json!({ "down": true })).await;
        let down = platform.get("key", "a").await.unwrap_err();
        assert_eq!(down.classify(), Category::Unavailable);
    });
}

#[test]
fn list_of_instances_lags() {
    block_on(async {
        let (platform, control) = start_platform().await;
        let instance = Instance {
            name: "a".into(),
            peer_address: "127.0.0.1:1".into(),
            caller_address: "127.0.0.1:2".into(),
            zone: "zone-0".into(),
            state: InstanceState::Live,
        };
        control.put("instances/a?lag_ms=100", &instance).await;
        assert!(
            platform
                .list_instances()
                .await
                .unwrap()
                .instances
                .is_empty()
        );
        wait_for("the instance in the list", async || {
            let list = platform.list_instances().await.unwrap();
            (list.instances == [instance.clone()]).then_some(())
        })
        .await;
    });
}

#[test]
fn old_fencing_number_is_rejected_where_it_is_checked() {
    block_on(async {
        for is_checked in [true, false] {
            let (engine, _) = start_engine(is_checked).await;
            load(&engine, "a", 7).await.unwrap();
            let old = load(&engine, "b", 6).await;
            let rejected = old
                .is_err_and(|cause| cause.classify() == mimosabay_backend::Category::StaleFencing);
            assert_eq!(rejected, is_checked);
        }
    });
}

#[test]
fn slots_are_limited() {
    block_on(async {
        let (engine, _) = start_engine(true).await;
        load(&engine, "a", 1).await.unwrap();
        load(&engine, "b", 1).await.unwrap();
        let full = load(&engine, "c", 1).await.unwrap_err();
        assert_eq!(full.classify(), mimosabay_backend::Category::NoSlot);
        let order = UnloadOrder {
            handle: "a".into(),
            fencing: 1,
        };
        engine.unload(&order).await.unwrap();
        load(&engine, "c", 1).await.unwrap();
        let report = engine.fetch_report().await.unwrap();
        assert_eq!(report.handles, ["b".into(), "c".into()]);
    });
}

#[test]
fn resumed_run_continues_after_the_text() {
    block_on(async {
        let (engine, control) = start_engine(true).await;
        load(&engine, "a", 1).await.unwrap();
        let complete = read(engine.generate(&order(10, 0)).await.unwrap()).await;
        assert_eq!(complete, text::generate_text(SOURCE, PROMPT, 10));
        let rest = read(engine.generate(&order(10, 4)).await.unwrap()).await;
        assert_eq!(text::generate_text(SOURCE, PROMPT, 4) + &rest, complete);
        let mut wrong = order(10, 0);
        wrong.resume_text = "something else".to_owned();
        engine.generate(&wrong).await.unwrap();
        let record: Record = control.read("record").await;
        assert_eq!(record.violations.len(), 1, "{:?}", record.violations);
    });
}

#[test]
fn run_ends_when_its_reader_disconnects_or_cancels() {
    block_on(async {
        let (engine, control) = start_engine(true).await;
        load(&engine, "a", 1).await.unwrap();
        let mut disconnected = engine.generate(&order(10_000, 0)).await.unwrap();
        disconnected.next().await.unwrap();
        drop(disconnected);
        wait_for("end of the run", async || {
            let record: Record = control.read("record").await;
            (record.runs[0].outcome == Outcome::Cancelled).then_some(())
        })
        .await;
        let mut cancelled = engine.generate(&order(10_000, 0)).await.unwrap();
        cancelled.next().await.unwrap();
        engine.cancel("r-1").await.unwrap();
        while cancelled.next().await.is_ok() {}
        let record: Record = control.read("record").await;
        assert_eq!(record.runs[1].outcome, Outcome::Cancelled);
    });
}

/// Guards against a run that goes on after its caller has left, because its identifier stood unencoded in
/// the URL of the cancellation.
mod run_with_an_odd_identifier_goes_on {
    use mimosabay_core::cases;

    use super::run_is_cancelled;

    cases! {
        run_is_cancelled;
        reserved: ("a&b+c=d");
        fragment: ("a#b");
        question_mark: ("a?b");
        slash: ("a/b");
        percent: ("a%b");
        percent_and_digits: ("a%41");
        quotes: ("{\"a\"}");
    }
}

fn run_is_cancelled(id: &str) {
    block_on(async {
        let (engine, control) = start_engine(true).await;
        load(&engine, "a", 1).await.unwrap();
        let mut order = order(10_000, 0);
        order.request_id = id.into();
        let mut run = engine.generate(&order).await.unwrap();
        run.next().await.unwrap();
        engine.cancel(id).await.unwrap();
        let record: Record = control.read("record").await;
        assert_eq!(record.runs[0].outcome, Outcome::Cancelled);
    });
}

#[test]
fn unloading_an_adapter_in_use_is_a_violation() {
    block_on(async {
        let (engine, control) = start_engine(true).await;
        load(&engine, "a", 1).await.unwrap();
        let mut run = engine.generate(&order(10_000, 0)).await.unwrap();
        run.next().await.unwrap();
        let unload = UnloadOrder {
            handle: "a".into(),
            fencing: 1,
        };
        engine.unload(&unload).await.unwrap();
        while run.next().await.is_ok() {}
        let record: Record = control.read("record").await;
        assert_eq!(record.violations, ["unloaded a while it was in use"]);
        assert_eq!(record.runs[0].outcome, Outcome::Evicted);
    });
}

#[test]
fn crash_unloads_all_adapters() {
    block_on(async {
        let (engine, control) = start_engine(true).await;
        load(&engine, "a", 1).await.unwrap();
        let before = engine.fetch_report().await.unwrap();
        let fault = json!({ "crash_on_prompt": "mops", "crash_after_tokens": 2 });
        control.set_faults(&fault).await;
        let mut run = engine.generate(&order(10, 0)).await.unwrap();
        let mut tokens = 0;
        while run.next().await.is_ok() {
            tokens += 1;
        }
        assert_eq!(tokens, 2);
        let after = engine.fetch_report().await.unwrap();
        assert!(after.boot > before.boot);
        assert!(after.handles.is_empty());
    });
}

#[test]
fn silenced_connections_stay_open_and_new_ones_work() {
    block_on(async {
        let (engine, control) = start_engine(true).await;
        // Opens two connections, one of which is idle when all are silenced.
        let loads = tokio::join!(load(&engine, "a", 1), load(&engine, "b", 1));
        loads.0.unwrap();
        loads.1.unwrap();
        let mut run = engine.generate(&order(10_000, 0)).await.unwrap();
        run.next().await.unwrap();
        control.set_faults(&json!({ "silence_open": true })).await;
        let idle = engine.fetch_report().await.unwrap_err();
        assert_eq!(idle.classify(), mimosabay_backend::Category::Timeout);
        let new_client = Engine::new(mimosabay_http::Client::new(), control.address());
        new_client.fetch_report().await.unwrap();
        let silenced = loop {
            match run.next().await {
                Ok(_) => {}
                Err(cause) => break cause,
            }
        };
        assert_eq!(silenced.classify(), mimosabay_backend::Category::Timeout);
    });
}

async fn start_platform() -> (Platform, Control) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(platform::serve(listener, platform::Options::default()));
    (Platform::new(&address), Control::new(address))
}

async fn start_engine(check_fencing: bool) -> (Engine, Control) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let options = engine::Options {
        slots: 2,
        token_us: 500,
        load_ms: 1,
        check_fencing,
        ..engine::Options::default()
    };
    tokio::spawn(engine::serve(listener, options));
    let client = mimosabay_http::Client::new();
    (Engine::new(client, &address), Control::new(address))
}

async fn load(engine: &Engine, handle: &str, fencing: u64) -> Result<(), mimosabay_backend::Error> {
    let order = LoadOrder {
        handle: handle.into(),
        source: SOURCE.into(),
        fencing,
    };
    engine.load(&order).await
}

fn order(max_tokens: u64, resumed_tokens: u64) -> GenerateOrder {
    let body = json!({ "prompt": PROMPT, "max_tokens": max_tokens });
    GenerateOrder {
        handle: "a".into(),
        request_id: "r-1".into(),
        body: body.to_string(),
        chat: false,
        fencing: 1,
        priority: 0,
        resume_text: text::generate_text(SOURCE, PROMPT, resumed_tokens),
        timeout_ms: 5_000,
    }
}

async fn read(mut generation: Generation) -> String {
    let mut text = String::new();
    loop {
        match generation.next().await.unwrap() {
            Part::Text { text: part, .. } => text.push_str(&part),
            Part::End { .. } => return text,
        }
    }
}
