//! Budgets over real processes: the rate and burst hold, and requests above them are refused.

use std::time::Duration;

use mimosabay_standin::harness::{Site, SiteOptions, block_on, wait_for};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Rate in tokens per second and burst in tokens of the organisation in these tests.
const RATE: (u64, u64) = (400, 800);
/// Completion tokens that each request asks for.
const COMPLETION_TOKENS: u64 = 20;

async fn site() -> Site {
    let options = SiteOptions {
        clinics_rate: RATE,
        ..SiteOptions::default()
    };
    Site::start(options).await
}

/// Sends requests from `callers` callers to `instances` for `time_ms`; returns the tokens of the
/// answered requests and the number of refused requests.
async fn overload(site: &Site, instances: &[usize], callers: usize, time_ms: u64) -> (u64, u64) {
    let end = Instant::now() + Duration::from_millis(time_ms);
    let mut tasks = JoinSet::new();
    for index in 0..callers {
        let caller = site.caller(instances[index % instances.len()]);
        tasks.spawn(async move {
            let (mut tokens, mut refused) = (0, 0);
            while Instant::now() < end {
                let Ok(reply) = caller.complete("tender", "a", COMPLETION_TOKENS).await else {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                if reply.status == 200 {
                    tokens += reply.body["usage"]["total_tokens"].as_u64().unwrap_or(0);
                } else if reply.status == 429 {
                    assert_eq!((reply.code(), reply.ran()), ("over_rate", "no"));
                    assert!(reply.headers.contains_key("retry-after"));
                    refused += 1;
                    sleep(Duration::from_millis(20)).await;
                }
            }
            (tokens, refused)
        });
    }
    let counts = tasks.join_all().await;
    let tokens = counts.iter().map(|(tokens, _)| tokens).sum();
    let refused = counts.iter().map(|(_, refused)| refused).sum();
    (tokens, refused)
}

fn max_tokens(took: Duration) -> f64 {
    let (rate, burst) = RATE;
    burst as f64 + rate as f64 * took.as_secs_f64()
}

#[test]
fn all_instances_together_keep_to_rate_and_burst() {
    block_on(async {
        let site = site().await;
        let started = Instant::now();
        let (tokens, refused) = overload(&site, &[0, 1, 2], 60, 5_000).await;
        let max = max_tokens(started.elapsed());
        println!("{tokens} tokens of {max:.0}, {refused} refused");
        assert!(tokens as f64 <= max, "{tokens} of {max}");
        assert!(refused > 0);
    });
}

#[test]
fn a_killed_and_a_frozen_instance_do_not_exceed_the_bound() {
    block_on(async {
        let mut site = site().await;
        let started = Instant::now();
        site.instances[1].process.freeze();
        let (first, _) = overload(&site, &[0, 2], 30, 3_000).await;
        site.instances[1].process.thaw();
        site.instances[2].process.kill();
        let (second, _) = overload(&site, &[0, 1], 30, 3_000).await;
        let max = max_tokens(started.elapsed());
        let tokens = first + second;
        println!("{tokens} tokens of {max:.0}");
        assert!(tokens as f64 <= max, "{tokens} of {max}");
    });
}

/// The own share of each instance is a third of the budget, less than the request needs.
#[test]
fn a_request_beyond_the_own_share_is_admitted_everywhere() {
    block_on(async {
        let site = site().await;
        for index in 0..3 {
            let caller = site.caller(index);
            wait_for("a request of half the burst", async || {
                let reply = caller.complete("tender", "a", RATE.1 / 2).await;
                reply.is_ok_and(|reply| reply.status == 200).then_some(())
            })
            .await;
        }
    });
}
