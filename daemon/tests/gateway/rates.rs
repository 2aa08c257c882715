//! Rates of organisations over all instances.

use mimosabay_standin::fleet::{FleetOptions, FleetSite};
use mimosabay_standin::harness::{block_on, wait_for};

const TOKENS: u64 = 980;
/// Cost of a request of [`TOKENS`] with its answer, in tokens.
const COST: u64 = TOKENS + 20;

fn with_rate(rate_per_s: u64, burst: u64) -> FleetOptions {
    FleetOptions {
        rate_per_s,
        burst,
        ..FleetOptions::default()
    }
}

#[test]
fn burst_is_counted_over_all_instances() {
    block_on(async {
        let site = FleetSite::start(with_rate(1, 10 * COST)).await;
        let mut answered = 0;
        for number in 0..30 {
            let caller = site.caller(number % 2);
            let id = format!("one-{number}");
            let answer = caller.generate_for_tokens(&id, TOKENS).await.unwrap();
            match answer.status {
                200 => answered += 1,
                429 => assert!(!answer.header("retry-after").is_empty()),
                other => panic!("status {other}"),
            }
        }
        assert!(answered <= 10, "{answered} of 10 allowed");
        assert!(answered >= 3, "{answered} of 3 that a new placer grants");
    });
}

#[test]
fn refused_request_did_not_run() {
    block_on(async {
        let site = FleetSite::start(with_rate(1, 1)).await;
        // The first request costs more than the burst and is granted as a debt, which the rate
        // repays.
        site.caller(0)
            .generate_for_tokens("one", TOKENS)
            .await
            .unwrap();
        let answer = site
            .caller(1)
            .generate_for_tokens("two", TOKENS)
            .await
            .unwrap();
        assert_eq!(answer.status, 429);
        assert_eq!(site.run_count("two"), 0);
    });
}

#[test]
fn rate_is_refilled_over_time() {
    block_on(async {
        let site = FleetSite::start(with_rate(2 * COST, 2 * COST)).await;
        for number in 0..4 {
            wait_for("a granted request", async || {
                let id = format!("one-{number}");
                let answer = site.caller(0).generate_for_tokens(&id, TOKENS).await.ok()?;
                (answer.status == 200).then_some(())
            })
            .await;
        }
    });
}
