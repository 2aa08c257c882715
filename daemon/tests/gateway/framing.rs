//! Answers that end with their connection: with neither a length nor chunks, or before their length.

use futures::future::join_all;
use mimosabay_core::cases;
use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::block_on;

/// Number of callers at a time.
const CALLERS: usize = 4;
/// Number of requests in a row of each caller.
const REQUESTS: usize = 20;
/// Identifiers of the events of a complete stream.
const ALL_EVENTS: [u64; 6] = [1, 2, 3, 4, 5, 6];

fn plan_all(servers: &[FleetServer], behaviour: Behaviour) {
    for server in servers {
        server.plan(behaviour);
    }
}

/// Guards against taking the end of the connection for a fault.
mod complete_stream_without_length_is_delivered_whole {
    use super::{cases, check_complete_stream};

    cases! {
        check_complete_stream;
        draft: ("/draft/x");
        once: ("/once/x");
    }
}

fn check_complete_stream(path: &'static str) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        plan_all(&site.engines, Behaviour::AnswerUntilClose);
        let answer = site.caller(0).generate(path, "one", "").await;
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.event_ids(), ALL_EVENTS);
        assert_eq!(site.run_count("one"), 1);
    });
}

/// Guards against taking the end of the connection for the end of the stream.
mod stream_that_ends_too_early_is_resumed {
    use super::{Behaviour, cases, check_resumed_stream};

    cases! {
        check_resumed_stream;
        inside_an_event: (Behaviour::EndInsideEvent(3));
        inside_the_first_event: (Behaviour::EndInsideEvent(0));
        before_the_first_event: (Behaviour::EndAfterHead);
        between_events_before_its_length: (Behaviour::CutShort(3));
        before_the_first_event_and_its_length: (Behaviour::CutShort(0));
    }
}

fn check_resumed_stream(end: Behaviour) {
    block_on(async {
        let site = start_small_site().await;
        site.engines[0].plan(end);
        let answer = site.caller(0).generate("/draft/x", "one", "").await;
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.event_ids(), ALL_EVENTS);
        assert_eq!(site.run_count("one"), 2);
    });
}

/// Guards against an incomplete answer that looks complete.
mod stream_that_ends_too_early_breaks_for_its_caller {
    use super::{Behaviour, cases, check_broken_stream};

    cases! {
        check_broken_stream;
        inside_an_event: (Behaviour::EndInsideEvent(3));
        between_events_before_its_length: (Behaviour::CutShort(3));
    }
}

/// Guards against a cut connection where an error can still be sent.
mod stream_that_ends_before_its_first_event_is_answered_with_an_error {
    use super::{Behaviour, cases, check_failed_stream};

    cases! {
        check_failed_stream;
        inside_the_first_event: (Behaviour::EndInsideEvent(0));
        before_the_first_event: (Behaviour::EndAfterHead);
        before_the_first_event_and_its_length: (Behaviour::CutShort(0));
        after_the_head: (Behaviour::BreakAfter(0));
    }
}

fn check_failed_stream(end: Behaviour) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        plan_all(&site.engines, end);
        let answer = site.caller(0).generate("/once/x", "one", "").await;
        let answer = answer.expect("an error");
        assert_eq!(answer.status, 502);
        assert_eq!(site.run_count("one"), 1);
    });
}

fn check_broken_stream(end: Behaviour) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        plan_all(&site.engines, end);
        let answer = site.caller(0).generate("/once/x", "one", "").await;
        assert!(answer.is_err(), "a broken stream must not look complete");
        assert_eq!(site.run_count("one"), 1);
    });
}

/// Guards against an incomplete answer that looks complete after it was resumed.
#[test]
fn resumed_stream_that_ends_before_an_event_breaks_for_its_caller() {
    block_on(async {
        let site = start_small_site().await;
        site.engines[0].plan(Behaviour::BreakAfter(3));
        site.engines[0].plan(Behaviour::EndAfterHead);
        let answer = site.caller(0).generate("/draft/x", "one", "").await;
        assert!(answer.is_err(), "a broken stream must not look complete");
        assert_eq!(site.run_count("one"), 2);
    });
}

#[test]
fn stream_without_length_completes_a_broken_one() {
    block_on(async {
        let site = start_small_site().await;
        site.engines[0].plan(Behaviour::BreakAfter(3));
        site.engines[0].plan(Behaviour::AnswerUntilClose);
        let answer = site.caller(0).generate("/draft/x", "one", "").await;
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.event_ids(), ALL_EVENTS);
        assert_eq!(site.run_count("one"), 2);
    });
}

/// Guards against sending a request on a connection that has ended an answer.
mod connection_that_ends_an_answer_is_not_used_again {
    use super::{cases, check_plain_answers, check_streams};

    cases! {
        check_plain_answers;
        booking: ("/book/x");
        lookup: ("/look/x");
    }
    cases! {
        check_streams;
        draft: ("/draft/x");
        once: ("/once/x");
    }
}

fn check_plain_answers(path: &'static str) {
    block_on(async {
        let site = start_small_site().await;
        let server = &site.plain_servers[0];
        let body = format!("{{\"server\":\"{}\"}}", server.id);
        let send = async |id: &str| {
            let answer = site.caller(0).post(path, id, "a body").await;
            let answer = answer.expect("a complete answer");
            assert_eq!((id, answer.status), (id, 200));
            assert_eq!(answer.body, body);
            assert_eq!(site.run_count(id), 1);
        };
        send_many(server, send).await;
    });
}

fn check_streams(path: &'static str) {
    block_on(async {
        let site = start_small_site().await;
        let send = async |id: &str| {
            let answer = site.caller(0).generate(path, id, "").await;
            let answer = answer.expect("a complete answer");
            assert_eq!((id, answer.status), (id, 200));
            assert_eq!(answer.event_ids(), ALL_EVENTS);
            assert_eq!(site.run_count(id), 1);
        };
        send_many(&site.engines[0], send).await;
    });
}

/// Sends requests, each of which the server answers with neither a length nor chunks.
async fn send_many(server: &FleetServer, send: impl AsyncFn(&str)) {
    for _ in 0..CALLERS * REQUESTS {
        server.plan(Behaviour::AnswerUntilClose);
    }
    let callers = (0..CALLERS).map(async |caller| {
        for number in 0..REQUESTS {
            send(&format!("request-{caller}-{number}")).await;
        }
    });
    join_all(callers).await;
}

async fn start_small_site() -> FleetSite {
    FleetSite::start(FleetOptions {
        engines: 1,
        plain_servers: 1,
        ..FleetOptions::default()
    })
    .await
}
