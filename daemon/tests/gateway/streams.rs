//! Streams that break, and callers that leave.

use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetServer, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};

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
