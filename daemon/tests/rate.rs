//! The rate and burst of an organisation hold across all instances.

use mimosabay_standin::harness::{Site, SiteOptions, block_on, wait_for};
use mimosabay_standin::text;

const BURST_TOKENS: u64 = 1_000;

#[test]
fn burst_is_shared_by_all_instances() {
    block_on(async {
        let site = start().await;
        let mut generated = 0;
        for call in 0..60 {
            let caller = site.caller(call % site.instances.len());
            let reply = caller.complete("tender", "a", 49).await.unwrap();
            if reply.status == 200 {
                generated += 50;
            } else {
                assert_eq!((reply.status, reply.code()), (429, "over_rate"));
                assert_eq!(reply.ran(), "no");
                assert!(reply.headers.contains_key("retry-after"));
            }
        }
        assert!(generated <= BURST_TOKENS, "{generated} tokens");
        // Another organisation is not affected.
        let markets = site.instances[0]
            .caller()
            .key(mimosabay_standin::harness::MARKETS_KEY);
        let reply = markets.complete("tender", "a", 49).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    });
}

#[test]
fn one_instance_can_grant_most_of_the_burst() {
    block_on(async {
        let site = start().await;
        let caller = site.caller(0);
        let mut answered = 0;
        for _ in 0..12 {
            let reply = caller.complete("tender", "a", 49).await.unwrap();
            answered += u64::from(reply.status == 200);
        }
        assert_eq!(answered, 12, "refused within rate and burst");
    });
}

#[test]
fn request_above_the_burst_is_refused() {
    block_on(async {
        let site = start().await;
        let reply = site.caller(0).complete("tender", "a", 5_000).await.unwrap();
        assert_eq!((reply.status, reply.code()), (429, "over_rate"));
        assert!(site.runs().await.is_empty());
    });
}

#[test]
fn charge_is_settled_with_what_ran() {
    block_on(async {
        let site = start().await;
        // Charged about 400 tokens by its length, but uses only 1 + 4.
        let prompt = "a".repeat(800);
        for call in 0..12 {
            let caller = site.caller(call % site.instances.len());
            let reply = caller.complete("tender", &prompt, 4).await.unwrap();
            assert_eq!(reply.status, 200, "call {call}: {}", reply.body);
            assert_eq!(
                reply.text(),
                text::generate_text("store://tender/2", &prompt, 4)
            );
        }
    });
}

#[test]
fn budget_of_a_caller_that_left_is_settled() {
    block_on(async {
        let site = start().await;
        for call in 0..6 {
            let caller = site.caller(call % site.instances.len());
            let mut stream = wait_for("a stream", async || {
                caller.open_stream("tender", "a", 500).await.ok()
            })
            .await;
            stream.read_parts(2).await.unwrap();
        }
        // Six times 500 tokens would exceed the burst if they stayed charged.
        let runs = wait_for("end of the runs", async || {
            let runs = site.runs().await;
            let ended = runs.iter().all(|run| run.ended_ms.is_some());
            ended.then_some(runs)
        })
        .await;
        let used: u64 = runs.iter().map(|run| run.generated_tokens + 1).sum();
        assert!(used < BURST_TOKENS, "{used} tokens");
    });
}

/// Starts a site whose rate is so small that the budget is not refilled during a test.
async fn start() -> Site {
    Site::start(SiteOptions {
        clinics_rate: (1, BURST_TOKENS),
        ..SiteOptions::default()
    })
    .await
}
