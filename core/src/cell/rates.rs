//! Token buckets that limit organisations to their rates, kept where their requests are granted.
//!
//! They bound what an organisation gets that sends many times its rate.

use std::collections::HashMap;

use crate::bucket::Bucket;
use crate::name::Name;
use crate::site::Organisation;

use super::message::Charge;

/// Initial share of the burst in a new bucket. The previous placer may just have granted the whole
/// burst.
const INITIAL_BURST_SHARE: f64 = 0.35;
/// Number of instances that share the rates while there is no placer and their number is unknown.
const ASSUMED_INSTANCES: usize = 10;
/// Share of the burst that suffices to admit any request.
const SUFFICIENT_BURST_SHARE: f64 = 0.25;
/// The same where requests of all sizes are admitted alike.
const LEAST_BURST_SHARE: f64 = 0.001;
/// Minimum retry delay sent to a refused caller, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Maximum retry delay sent to a refused caller, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// Token buckets of all organisations.
#[derive(Debug)]
pub struct Rates {
    buckets: HashMap<Name, Bucket>,
    /// Share of each rate and burst that is granted here.
    share: f64,
    /// Share of the burst that suffices to admit any request.
    sufficient_share: f64,
}

impl Rates {
    /// Creates buckets with the full rates, for the placer.
    pub fn for_placer() -> Self {
        Self::with_share(1.0)
    }

    /// Creates buckets with one instance's share of the rates, for an entry instance without a
    /// placer.
    pub fn for_entry() -> Self {
        let mut rates = Self::with_share(1.0);
        rates.set_instance_count(ASSUMED_INSTANCES);
        rates
    }

    /// Divides the rates among `instances` from the next configuration on.
    pub fn set_instance_count(&mut self, instances: usize) {
        self.share = 1.0 / instances.max(1) as f64;
    }

    fn with_share(share: f64) -> Self {
        Self {
            buckets: HashMap::new(),
            share,
            sufficient_share: SUFFICIENT_BURST_SHARE,
        }
    }

    /// Admits requests as long as anything is left of a rate, so that large ones are not refused before
    /// small ones. What they take beyond the level is paid back by later requests.
    pub fn admit_all_sizes(&mut self) {
        self.sufficient_share = LEAST_BURST_SHARE;
    }

    /// Applies the rates of a configuration.
    pub fn configure<'a>(
        &mut self,
        organisations: impl Iterator<Item = &'a Organisation>,
        now_ms: u64,
    ) {
        let mut before = std::mem::take(&mut self.buckets);
        for organisation in organisations {
            if organisation.rate_per_s <= 0.0 || self.buckets.contains_key(&organisation.name) {
                continue;
            }
            let rate_per_s = organisation.rate_per_s * self.share;
            let burst = organisation.burst * self.share;
            let bucket = match before.remove(&organisation.name) {
                Some(mut bucket) => {
                    bucket.reconfigure(rate_per_s, burst, now_ms);
                    bucket
                }
                None => initial_bucket(rate_per_s, burst, now_ms),
            };
            self.buckets.insert(organisation.name.clone(), bucket);
        }
    }

    /// Charges a request.
    ///
    /// # Errors
    ///
    /// Returns the time until the request can be charged, in milliseconds, if the rate is used up.
    pub fn charge(&mut self, charge: &Charge, now_ms: u64) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(&charge.organisation) else {
            return Ok(());
        };
        let cost = charge.cost as f64;
        // A request larger than the whole burst must be admitted eventually. The tokens that it
        // takes beyond the level are paid back by later requests.
        let needed = cost.min(bucket.burst() * self.sufficient_share);
        if bucket.level(now_ms) >= needed {
            bucket.take_with_debt(cost, now_ms);
            return Ok(());
        }
        let wait_ms = bucket.wait_ms(needed, now_ms).unwrap_or(MAX_RETRY_AFTER_MS);
        Err(wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
    }

    /// Charges for a cost that has already been incurred.
    pub fn record_cost(&mut self, charge: &Charge, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(&charge.organisation) {
            bucket.take_with_debt(charge.cost as f64, now_ms);
        }
    }

    /// Returns the tokens of a request that will not run.
    pub fn refund(&mut self, charge: &Charge, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(&charge.organisation) {
            bucket.refund(charge.cost as f64, now_ms);
        }
    }
}

fn initial_bucket(rate_per_s: f64, burst: f64, now_ms: u64) -> Bucket {
    let mut bucket = Bucket::empty(rate_per_s, burst, now_ms);
    bucket.refund(burst * INITIAL_BURST_SHARE, now_ms);
    bucket
}
