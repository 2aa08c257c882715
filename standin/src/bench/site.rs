//! Starts the site that a trace is replayed against.

use mimosabay_core::resource::Kind;
use mimosabay_operator::key;
use serde_json::json;

use super::options::{BenchOptions, SiteKind};
use super::policy::Policy;
use super::trace::{ORGANISATIONS, rate_and_burst};
use crate::harness::{Site, SiteOptions};
use crate::{engine, plain, weights};

const INSTANCES: usize = 7;
const ENGINES: usize = 18;
/// Base time per generated token, in microseconds.
const TOKEN_US: u64 = 35_000;
/// Additional time per generated token for each running request, in microseconds.
const TOKEN_US_PER_RUNNING: u64 = 1_000;
/// Prefill time per token of the prompt, in microseconds.
const PROMPT_US_PER_TOKEN: u64 = 500;

/// Starts a site for a policy and writes its resources.
pub(super) async fn start(options: &BenchOptions, policy: &Policy) -> Site {
    let (zones, plain_servers) = match options.site {
        SiteKind::Thies => (3, 3),
        SiteKind::Cofrestr => (4, 4),
    };
    let engine = engine::Options {
        slots: options.slots,
        batch: options.batch,
        token_us: TOKEN_US,
        token_us_per_running: TOKEN_US_PER_RUNNING,
        prompt_us_per_token: PROMPT_US_PER_TOKEN,
        ..engine::Options::default()
    };
    let site = Site::start(SiteOptions {
        instances: INSTANCES,
        zones,
        engines: vec![engine; ENGINES],
        plain_servers: vec![plain::Options::default(); plain_servers],
        weights: Some(weights::Options::default()),
        settings: policy.settings(),
        ..SiteOptions::default()
    })
    .await;
    write_resources(&site, options).await;
    site
}

async fn write_resources(site: &Site, options: &BenchOptions) {
    for (index, (name, ..)) in ORGANISATIONS.iter().enumerate() {
        let (rate, burst) = rate_and_burst(options, index);
        let spec =
            json!({ "rate_tokens_per_s": round_to_u64(rate), "burst_tokens": round_to_u64(burst) });
        site.write(Kind::Organisation, name, &spec).await;
        let spec = json!({ "organisation": name, "sha256": key::hash(&api_key(index)) });
        site.write(Kind::Key, &format!("{name}-key"), &spec).await;
    }
    for adapter in 0..options.adapters {
        site.write_adapter(&adapter_name(adapter), &["1"], "1")
            .await;
    }
    site.wait_accepted().await;
}

/// Returns the API key of an organisation.
pub(super) fn api_key(organisation: usize) -> String {
    format!("mb_key-of-{}", ORGANISATIONS[organisation].0)
}

/// Returns the name of an adapter.
pub(super) fn adapter_name(adapter: usize) -> String {
    format!("adapter-{adapter}")
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_to_u64(number: f64) -> u64 {
    number.round() as u64
}
