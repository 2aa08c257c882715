//! Sound servers that fall silent for a second or two and go on.

use std::time::Duration;

use futures::future::join_all;
use mimosabay_core::cases;
use mimosabay_standin::fleet::{Behaviour, FleetCaller, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::Value;
use tokio::time::sleep;

/// Time for which a server is silent in the middle of a stream, in milliseconds; long enough that another
/// one is requested.
const PAUSE_MS: u64 = 2_400;
/// Time for which a server is silent without being replaced, in milliseconds.
const SHORT_PAUSE_MS: u64 = 1_800;
/// Time for which a server is silent that is to be replaced, in milliseconds; longer than any deadline.
const HANG_MS: u64 = 30_000;
/// Deadline of a stream that may meet two silent servers, in milliseconds.
const LONG_DEADLINE_MS: u64 = 12_000;
/// Time for which a server reads nothing, in milliseconds.
const READ_PAUSE_MS: u64 = 2_200;
/// Time until a silent server sends the head of its answer, in milliseconds.
const LATE_HEAD_MS: u64 = 2_500;
/// Time until a silent plain server answers, in milliseconds.
const LATE_ANSWER_MS: u64 = 1_600;
/// Time after which the configuration changes beside a pause, in milliseconds.
const CHANGE_AFTER_MS: u64 = 700;
/// Number of requests at a time; more than an instance has retries.
const REQUESTS: usize = 8;
/// Size of a body that does not fit in the buffers of a connection, in bytes.
const LARGE_BODY_BYTES: usize = 90_000;

const MID_STREAM_PAUSE: Behaviour = Behaviour::PauseAfter {
    events: 3,
    pause_ms: PAUSE_MS,
};

const SHORT_PAUSE: Behaviour = Behaviour::PauseAfter {
    events: 3,
    pause_ms: SHORT_PAUSE_MS,
};

const MID_STREAM_HANG: Behaviour = Behaviour::PauseAfter {
    events: 3,
    pause_ms: HANG_MS,
};

async fn start_site(engines: usize) -> FleetSite {
    FleetSite::start(FleetOptions {
        engines,
        ..FleetOptions::default()
    })
    .await
}

fn plan_first_request(site: &FleetSite, behaviour: Behaviour) {
    for engine in &site.engines {
        engine.plan(behaviour);
    }
}

fn plan_all(site: &FleetSite, behaviour: Behaviour) {
    for server in site.engines.iter().chain(&site.plain_servers) {
        for _ in 0..REQUESTS {
            server.plan(behaviour);
        }
    }
}

/// Publishes a version with longer timeouts, and waits until the first instance applies it.
async fn allow_long_streams(site: &FleetSite) {
    site.configure(2, |configuration| {
        configuration["routes"][0]["timeoutMs"] = LONG_DEADLINE_MS.into();
    });
    wait_for("longer timeouts", async || {
        let log = site.instances[0].log();
        let is_applied =
            |line: &Value| line["event"] == "configuration_in_force" && line["version"] == 2;
        log.iter().any(is_applied).then_some(())
    })
    .await;
}

/// Publishes a version that adds a route.
fn add_route(site: &FleetSite) {
    site.configure(2, |configuration| {
        let routes = configuration["routes"].as_array_mut().expect("routes");
        let mut added = routes[0].clone();
        added["name"] = "added".into();
        added["pathPrefix"] = "/added/".into();
        routes.push(added);
    });
}

/// Guards against waiting until the deadline for a stalled server that sends a byte now and then.
#[test]
fn stream_whose_server_sends_only_bytes_now_and_then_is_resumed() {
    block_on(async {
        let site = start_site(2).await;
        plan_first_request(&site, Behaviour::TrickleAfter(3));
        let caller = site.caller(0);
        let request = caller.generate("/draft/x", "one", "");
        let others = async {
            wait_for("a running stream", async || {
                (site.run_count("one") > 0).then_some(())
            })
            .await;
            site.engines.iter().for_each(FleetServer::clear_plan);
        };
        let (answer, ()) = tokio::join!(request, others);
        let answer = answer.expect("a complete stream");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
        assert_eq!(site.run_count("one"), 2);
    });
}

/// Guards against giving up a silent server before another one has been assigned.
mod stream_is_not_cut_at_a_silent_server {
    use super::{cases, check_stream};

    cases! {
        check_stream;
        resumable: ("/draft/x", false);
        resumable_beside_a_change_of_the_configuration: ("/draft/x", true);
        once: ("/once/x", false);
        once_beside_a_change_of_the_configuration: ("/once/x", true);
    }
}

fn check_stream(path: &'static str, has_change: bool) {
    block_on(async {
        let site = start_site(1).await;
        site.engines[0].plan(MID_STREAM_PAUSE);
        let caller = site.caller(0);
        let answer = caller.generate(path, "one", "");
        let change = async {
            sleep(Duration::from_millis(CHANGE_AFTER_MS)).await;
            if has_change {
                add_route(&site);
            }
        };
        let (answer, ()) = tokio::join!(answer, change);
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
        assert_eq!(site.run_count("one"), 1);
    });
}

/// Guards against running a stream twice because its server paused for less than two seconds.
#[test]
fn server_that_pauses_for_less_than_two_seconds_is_not_replaced() {
    block_on(async {
        let site = start_site(2).await;
        plan_all(&site, SHORT_PAUSE);
        let answer = site.caller(0).generate("/draft/x", "one", "").await;
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
        assert_eq!(site.run_count("one"), 1);
    });
}

/// Guards against cutting streams for which no retry is left.
#[test]
fn streams_at_silent_servers_are_not_cut_when_retries_run_out() {
    block_on(async {
        let site = start_site(2).await;
        allow_long_streams(&site).await;
        plan_all(&site, MID_STREAM_PAUSE);
        let callers = (0..REQUESTS).map(|number| {
            let caller = site.caller(0).deadline_ms(LONG_DEADLINE_MS);
            async move {
                let id = format!("draft-{number}");
                caller.generate("/draft/x", &id, "").await
            }
        });
        let answers = join_all(callers).await;
        let complete = answers.iter().flatten();
        let complete = complete.filter(|answer| answer.event_ids() == [1, 2, 3, 4, 5, 6]);
        assert_eq!(complete.count(), REQUESTS);
    });
}

/// Sends a draft until it is answered; engines that broke off or rejected a request get none for a
/// moment.
pub(crate) async fn wait_for_draft(caller: &FleetCaller, id: &str) {
    wait_for("an answered draft", async || {
        let answer = caller.generate("/draft/x", id, "").await;
        (answer.expect("an answer").status == 200).then_some(())
    })
    .await;
}

/// Guards against cutting a stream because the successor of its silent server does not accept it.
#[test]
fn stream_is_resumed_although_the_successor_of_its_silent_server_rejects_it() {
    block_on(async {
        let site = start_site(2).await;
        plan_first_request(&site, MID_STREAM_HANG);
        let caller = site.caller(0);
        let stream = caller.generate("/draft/x", "one", "");
        let others = async {
            wait_for("a running stream", async || {
                (site.run_count("one") > 0).then_some(())
            })
            .await;
            for engine in site.engines.iter().filter(|it| it.running_count() == 0) {
                engine.clear_plan();
                engine.plan(Behaviour::Reject);
            }
            wait_for("a successor", async || {
                (site.arrival_count("one") > 1).then_some(())
            })
            .await;
            for number in 0..REQUESTS {
                wait_for_draft(&caller, &format!("other-{number}")).await;
            }
        };
        let (answer, ()) = tokio::join!(stream, others);
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
    });
}

/// Guards against an error for a request whose silent server cannot be replaced.
#[test]
fn first_event_of_a_silent_server_is_awaited_if_no_other_server_is_left() {
    block_on(async {
        let site = start_site(1).await;
        site.engines[0].plan(Behaviour::AnswerAfter(LATE_HEAD_MS));
        let answer = site.caller(0).generate("/draft/x", "one", "").await;
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.status, 200);
        assert_eq!(site.run_count("one"), 1);
    });
}

/// Guards against an error for a lookup whose attempt is given up although no retry is left.
#[test]
fn lookups_at_silent_servers_are_answered_when_retries_run_out() {
    block_on(async {
        let site = start_site(1).await;
        plan_all(&site, Behaviour::AnswerAfter(LATE_ANSWER_MS));
        let callers = (0..REQUESTS).map(|number| {
            let caller = site.caller(0);
            async move { caller.get("/look/x", &format!("look-{number}")).await }
        });
        let answers = join_all(callers).await;
        let statuses: Vec<u16> = answers.iter().flatten().map(|it| it.status).collect();
        assert_eq!(statuses, [200; REQUESTS]);
    });
}

/// Guards against a connection that the kernel closes while a sound server reads nothing.
#[test]
fn request_is_not_lost_while_its_server_reads_nothing() {
    block_on(async {
        let site = start_site(1).await;
        let body: &'static str = "x".repeat(LARGE_BODY_BYTES).leak();
        let caller = site.caller(0).prompt_text(body);
        site.engines[0].set_paused(true);
        let answer = caller.generate("/once/x", "one", "");
        let pause = async {
            sleep(Duration::from_millis(READ_PAUSE_MS)).await;
            site.engines[0].set_paused(false);
        };
        let (answer, ()) = tokio::join!(answer, pause);
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.status, 200);
        assert_eq!(site.run_count("one"), 1);
    });
}
