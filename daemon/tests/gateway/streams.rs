//! Streams that break, and callers that leave.

use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetServer, FleetSite, event_ids};
use mimosabay_standin::harness::{block_on, wait_for, wait_up_to};

#[test]
fn broken_stream_is_resumed_at_another_server() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for engine in &site.engines {
            engine.plan(Behaviour::BreakAfter(3));
            engine.plan(Behaviour::Answer);
        }
        let answer = site
            .caller(0)
            .generate("/draft/x", "one", "")
            .await
            .unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
        assert_eq!(site.run_count("one"), 2);
    });
}

/// Guards against the text of an error in the middle of a stream, and against an end that looks complete,
/// if the server that a broken stream goes on at does not go on with it.
mod stream_goes_on_with_what_is_no_event {
    use mimosabay_core::cases;
    use mimosabay_standin::fleet::Behaviour;

    use super::caller_receives_events_only;

    cases! {
        caller_receives_events_only;
        error: (Behaviour::Fail);
        rejection: (Behaviour::Reject);
        earlier_rejection: (Behaviour::RepeatRejection { has_id: false });
        no_answer: (Behaviour::LoseAnswer);
        another_answer: (Behaviour::AnswerWithWrongId);
        head_only: (Behaviour::EndAfterHead);
        length_without_body: (Behaviour::CutShort(0));
        inside_an_event: (Behaviour::EndInsideEvent(1));
        empty_body: (Behaviour::AnswerBytes(0));
        other_body: (Behaviour::AnswerBytes(64));
    }
}

fn caller_receives_events_only(next: Behaviour) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for engine in &site.engines {
            engine.set_event_interval(200);
            engine.plan(Behaviour::BreakAfter(3));
        }
        let mut stream = site
            .caller(0)
            .open_stream("/draft/x", "one", "")
            .await
            .unwrap();
        let mut body = stream.read_first_event().await.to_vec();
        for engine in &site.engines {
            engine.clear_plan();
            engine.plan(next);
        }
        let rest = stream.read_available().await;
        body.extend_from_slice(&rest.bytes);
        let ids = event_ids(&body);
        let expected: Vec<u64> = (1..=6).take(ids.len()).collect();
        assert_eq!(ids, expected);
        let text = String::from_utf8_lossy(&body);
        let is_event_line = |line: &str| line.is_empty() || line.contains(": ");
        assert!(text.lines().all(is_event_line), "{text}");
        assert!(
            !text.contains("HTTP/1.1") && !text.contains("server\":"),
            "{text}"
        );
        assert!(
            !rest.is_complete || ids.len() == 6,
            "it looks complete: {ids:?}"
        );
    });
}

#[test]
fn stream_that_may_not_be_resumed_breaks_for_its_caller() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for engine in &site.engines {
            engine.plan(Behaviour::BreakAfter(3));
        }
        let answer = site.caller(0).generate("/once/x", "one", "").await;
        assert!(answer.is_err(), "a broken stream must not look complete");
        assert_eq!(site.run_count("one"), 1);
    });
}

#[test]
fn stream_without_response_runs_once_if_it_may_not_be_retried() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for engine in &site.engines {
            engine.plan(Behaviour::LoseAnswer);
        }
        let answer = site.caller(0).generate("/once/x", "one", "").await.unwrap();
        assert_eq!(answer.status, 502);
        assert_eq!(site.run_count("one"), 1);
    });
}

#[test]
fn server_stops_working_when_the_caller_leaves_a_stream() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let mut stream = site
            .caller(0)
            .open_stream("/draft/x", "one", "")
            .await
            .unwrap();
        stream.read_first_event().await;
        drop(stream);
        wait_for("an idle server", async || {
            let running: usize = site.engines.iter().map(FleetServer::running_count).sum();
            (running == 0).then_some(())
        })
        .await;
    });
}

#[test]
fn server_stops_working_when_the_caller_leaves_before_the_answer() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::Hang);
        }
        let caller = site.caller(0);
        let call = tokio::spawn(async move { caller.get("/look/x", "one").await });
        wait_for("a running request", async || {
            (site.run_count("one") > 0).then_some(())
        })
        .await;
        call.abort();
        wait_for("an idle server", async || {
            let running: usize = site
                .plain_servers
                .iter()
                .map(FleetServer::running_count)
                .sum();
            (running == 0).then_some(())
        })
        .await;
    });
}

/// Time after which a server has no work for a caller that has left, in milliseconds.
const LEFT_MS: u64 = 1_000;

/// Guards against servers that go on for a caller that left before the first event: the instance notices
/// it only when it sends something.
#[test]
fn caller_that_leaves_before_the_first_event_ends_the_run() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for engine in &site.engines {
            engine.plan(Behaviour::TrickleAfter(0));
        }
        let caller = site.caller(0).deadline_ms(10_000);
        let call = tokio::spawn(async move { caller.generate("/once/x", "one", "").await });
        wait_for("a running request", async || {
            let mut engines = site.engines.iter();
            engines
                .any(|engine| engine.running_count() > 0)
                .then_some(())
        })
        .await;
        // The head of the server's answer has arrived by then.
        tokio::time::sleep(std::time::Duration::from_millis(LEFT_MS)).await;
        call.abort();
        let ended = wait_up_to(LEFT_MS, async || {
            let mut engines = site.engines.iter();
            engines
                .all(|engine| engine.running_count() == 0)
                .then_some(())
        });
        assert!(ended.await.is_some(), "the server still works");
    });
}
