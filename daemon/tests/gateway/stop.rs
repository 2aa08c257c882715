//! The planned stop of an instance.

use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};

#[test]
fn stopping_instance_answers_its_open_requests_and_ends() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerAfter(1_200));
        }
        let caller = site.caller(0);
        let call = tokio::spawn(async move { caller.post("/book/x", "one", "body").await });
        wait_for("a running booking", async || {
            (site.run_count("one") > 0).then_some(())
        })
        .await;
        site.instances[0].process.terminate();
        wait_for("an instance that is not ready", async || {
            (!site.is_ready(0).await).then_some(())
        })
        .await;
        let late = site.caller(0).get("/look/x", "late").await.unwrap();
        assert_eq!(late.status, 200, "callers are still sent there");
        assert_eq!(late.header("connection"), "close");
        assert_eq!(call.await.unwrap().unwrap().status, 200);
        assert!(site.instances[0].process.wait_for_exit().await.success());
    });
}

#[test]
fn stream_accepted_before_the_stop_is_complete() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let mut stream = site
            .caller(0)
            .open_stream("/draft/x", "one", "")
            .await
            .unwrap();
        stream.read_first_event().await;
        site.instances[0].process.terminate();
        assert!(stream.read_to_end().await.is_some());
        assert!(site.instances[0].process.wait_for_exit().await.success());
    });
}

#[test]
fn streams_are_refused_once_the_balancer_has_noticed() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerAfter(4_500));
        }
        let slow = site.caller(0).deadline_ms(6_000);
        let call = tokio::spawn(async move { slow.post("/book/x", "slow", "body").await });
        wait_for("a running booking", async || {
            (site.run_count("slow") > 0).then_some(())
        })
        .await;
        site.instances[0].process.terminate();
        wait_for("a refused stream", async || {
            let answer = site
                .caller(0)
                .generate("/draft/x", "probe", "")
                .await
                .ok()?;
            (answer.status == 503).then_some(())
        })
        .await;
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    });
}

#[test]
fn placer_that_stops_hands_over() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let placer = site.wait_placer().await;
        site.instances[placer].process.terminate();
        wait_for("another placer", async || {
            site.placer_index().filter(|now| *now != placer)
        })
        .await;
    });
}

#[test]
fn stopping_placer_continues_until_the_store_is_available() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let placer = site.wait_placer().await;
        let other = 1 - placer;
        site.store.set_down(true);
        site.instances[placer].process.terminate();
        wait_for("a refused resignation", async || {
            site.instances[placer]
                .has_logged("placer_not_resigned")
                .then_some(())
        })
        .await;
        let answer = site.caller(other).generate("/draft/x", "new", "a9").await;
        assert_eq!(
            answer.unwrap().status,
            200,
            "an adapter that only a placer can have loaded"
        );
        site.store.set_down(false);
        wait_for("another placer", async || {
            site.placer_index().filter(|now| *now == other)
        })
        .await;
        assert!(
            site.instances[placer]
                .process
                .wait_for_exit()
                .await
                .success()
        );
    });
}
