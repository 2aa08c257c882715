//! Burn rates and error budgets of objectives.
//!
//! The burn rate of a window is its fraction of bad requests divided by the fraction that the
//! objective allows. At a burn rate of 1 the error budget lasts exactly as long as its period.

use std::collections::BTreeSet;

use mimosabay_core::name::Name;
use mimosabay_core::resource::{Indicator, Objective};

use crate::slo::{BETWEEN_TOKENS_BOUNDS_MS, Counts, FIRST_TOKEN_BOUNDS_MS, SloRecord, Window};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Lengths of the report's windows, shortest first.
pub const WINDOWS_MS: [u64; 4] = [5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 3 * DAY_MS];

/// Error-budget period of a site without a sunset date.
pub const ROLLING_PERIOD_MS: u64 = 30 * DAY_MS;

/// Burn rate that spends 2% of a month's budget in an hour.
pub const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that spends 5% of a month's budget in six hours.
pub const MEDIUM_BURN_RATE: f64 = 6.0;
/// Burn rate that spends the whole budget in its period.
pub const SLOW_BURN_RATE: f64 = 1.0;

mimosabay_core::record! {
    /// Urgency with which an operator should handle the burn rate of an objective.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Alert {
        /// No action.
        None,
        /// Investigate during working hours.
        Ticket,
        /// Investigate immediately.
        Page,
    }

    /// Number of requests in a time range.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Requests that the objective covers. May be fractional, because a counter that overlaps
        /// the range only partly counts in proportion.
        pub total: f64,
        /// Requests that missed the objective. Invariant: at most `total`.
        pub bad: f64,
    }

    /// Burn rate in a window that ends at the time of the report.
    pub struct BurnWindow {
        /// Length of the window.
        pub length_ms: u64,
        /// Requests in the window.
        pub tally: Tally,
        /// Burn rate; 0 without requests.
        pub burn_rate: f64,
    }

    /// Error budget of an objective until the end of its period.
    pub struct Budget {
        /// Start of the period in milliseconds since 1970-01-01.
        pub start_ms: u64,
        /// End of the period in milliseconds since 1970-01-01: the sunset date, or the time of the
        /// report for a rolling period.
        pub end_ms: u64,
        /// Requests since the start of the period.
        pub tally: Tally,
        /// Bad requests that the period allows, given the requests so far and those expected.
        pub allowed_bad: f64,
        /// Fraction of the budget that is left; negative if it is overspent.
        pub left_share: f64,
        /// Time at which the budget is spent at the mean rate of the longest window, in
        /// milliseconds since 1970-01-01; `None` if not before the end of the period.
        pub spent_at_ms: Option<u64>,
    }

    /// Requests and burn rate of one clock hour.
    pub struct Hour {
        /// Start in milliseconds since 1970-01-01.
        pub start_ms: u64,
        /// Requests in the hour.
        pub tally: Tally,
        /// Burn rate; 0 without requests.
        pub burn_rate: f64,
    }

    /// Report on one objective and one organisation.
    pub struct ObjectiveReport {
        /// Name of the objective.
        pub objective: Name,
        /// Name of the organisation; empty for requests without a key.
        pub organisation: Name,
        /// Name of the route; empty if the objective covers all routes.
        pub route: Name,
        /// What the objective measures.
        pub indicator: Indicator,
        /// Fraction of the requests that must meet the objective.
        pub target: f64,
        /// Burn rates by window, shortest first.
        pub windows: Vec<BurnWindow>,
        /// Error budget.
        pub budget: Budget,
        /// Alert that the burn rates raise.
        pub alert: Alert,
        /// Hours of the longest window, oldest first.
        pub hours: Vec<Hour>,
    }

    /// Report on all objectives.
    pub struct BurnReport {
        /// Time of the report in milliseconds since 1970-01-01.
        pub now_ms: u64,
        /// End of the service in milliseconds since 1970-01-01, if the site has a sunset date.
        pub sunset_ms: Option<u64>,
        /// Reports sorted by objective and organisation.
        pub objectives: Vec<ObjectiveReport>,
    }
}

/// Builds the report on `objectives` from the service-level records of all instances.
pub fn report(
    objectives: &[(Name, Objective)],
    records: &[SloRecord],
    sunset_ms: Option<u64>,
    now_ms: u64,
) -> BurnReport {
    let mut reports = Vec::new();
    for (name, objective) in objectives {
        for organisation in organisations(objective, records) {
            let scope = Scope {
                objective,
                windows: windows(objective, &organisation, records),
                now_ms,
            };
            reports.push(scope.report(name, organisation, sunset_ms));
        }
    }
    reports.sort_by(|a, b| (&a.objective, &a.organisation).cmp(&(&b.objective, &b.organisation)));
    BurnReport {
        now_ms,
        sunset_ms,
        objectives: reports,
    }
}

/// Counters that one objective covers for one organisation.
struct Scope<'a> {
    objective: &'a Objective,
    windows: Vec<&'a Window>,
    now_ms: u64,
}

impl Scope<'_> {
    fn report(&self, name: &Name, organisation: Name, sunset_ms: Option<u64>) -> ObjectiveReport {
        let windows: Vec<_> = WINDOWS_MS.iter().map(|ms| self.burn_window(*ms)).collect();
        let rates: Vec<_> = windows.iter().map(|window| window.burn_rate).collect();
        ObjectiveReport {
            objective: name.clone(),
            organisation,
            route: self.objective.route.clone(),
            indicator: self.objective.indicator.clone(),
            target: self.objective.target,
            budget: self.budget(sunset_ms),
            alert: alert(rates[0], rates[1], rates[2], rates[3]),
            windows,
            hours: self.hours(),
        }
    }

    fn burn_window(&self, length_ms: u64) -> BurnWindow {
        let tally = self.tally(self.now_ms.saturating_sub(length_ms), self.now_ms);
        BurnWindow {
            length_ms,
            tally,
            burn_rate: self.burn_rate(tally),
        }
    }

    fn hours(&self) -> Vec<Hour> {
        let newest_ms = self.now_ms - self.now_ms % HOUR_MS;
        let count = WINDOWS_MS[3] / HOUR_MS;
        let starts = (0..count)
            .rev()
            .map(|back| newest_ms.saturating_sub(back * HOUR_MS));
        let hour = |start_ms: u64| {
            let tally = self.tally(start_ms, start_ms + HOUR_MS);
            let burn_rate = self.burn_rate(tally);
            Hour {
                start_ms,
                tally,
                burn_rate,
            }
        };
        starts.map(hour).collect()
    }

    fn budget(&self, sunset_ms: Option<u64>) -> Budget {
        let rolling_ms = self.now_ms.saturating_sub(ROLLING_PERIOD_MS);
        let first_ms = self.windows.iter().map(|window| window.start_ms).min();
        let first_ms = first_ms.unwrap_or(self.now_ms);
        let (start_ms, end_ms) = match sunset_ms {
            Some(sunset_ms) => (first_ms, sunset_ms.max(first_ms)),
            None => (first_ms.max(rolling_ms), self.now_ms),
        };
        let tally = self.tally(start_ms, self.now_ms);
        let rate_per_ms = self.mean_rate_per_ms(start_ms);
        let remaining_ms = end_ms.saturating_sub(self.now_ms) as f64;
        let expected = tally.total + rate_per_ms.total * remaining_ms;
        let allowed_bad = (1.0 - self.objective.target) * expected;
        let left_share = if allowed_bad > 0.0 {
            1.0 - tally.bad / allowed_bad
        } else {
            1.0
        };
        let spent_at_ms = self.spent_at_ms(allowed_bad - tally.bad, rate_per_ms.bad);
        Budget {
            start_ms,
            end_ms,
            tally,
            allowed_bad,
            left_share,
            spent_at_ms: spent_at_ms.filter(|at_ms| *at_ms < end_ms),
        }
    }

    /// Returns the mean number of requests per millisecond over the longest window, or since
    /// `start_ms` if that is later.
    fn mean_rate_per_ms(&self, start_ms: u64) -> Tally {
        let from_ms = start_ms.max(self.now_ms.saturating_sub(WINDOWS_MS[3]));
        let tally = self.tally(from_ms, self.now_ms);
        let passed_ms = self.now_ms.saturating_sub(from_ms).max(1) as f64;
        Tally {
            total: tally.total / passed_ms,
            bad: tally.bad / passed_ms,
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float is saturated on conversion and the value is not negative"
    )]
    fn spent_at_ms(&self, left_bad: f64, bad_per_ms: f64) -> Option<u64> {
        if bad_per_ms <= 0.0 {
            return None;
        }
        let left_ms = (left_bad / bad_per_ms).max(0.0);
        Some(self.now_ms.saturating_add(left_ms as u64))
    }

    /// Returns the requests between two times. A counter that overlaps the range only partly
    /// counts in proportion to the overlap.
    fn tally(&self, from_ms: u64, to_ms: u64) -> Tally {
        let mut sum = Tally::default();
        for window in &self.windows {
            let share = self.overlap(window, from_ms, to_ms);
            if share > 0.0 {
                let tally = tally(&self.objective.indicator, &window.counts);
                sum.total += tally.total * share;
                sum.bad += tally.bad * share;
            }
        }
        sum
    }

    /// Returns the fraction of a window that lies between two times. A window that has not ended
    /// counts as ending at `now_ms`.
    fn overlap(&self, window: &Window, from_ms: u64, to_ms: u64) -> f64 {
        let end_ms = window.end_ms().min(self.now_ms).max(window.start_ms + 1);
        let start_ms = window.start_ms.max(from_ms);
        let overlap_ms = end_ms.min(to_ms).saturating_sub(start_ms);
        overlap_ms as f64 / (end_ms - window.start_ms) as f64
    }

    fn burn_rate(&self, tally: Tally) -> f64 {
        if tally.total <= 0.0 {
            return 0.0;
        }
        tally.bad / tally.total / (1.0 - self.objective.target)
    }
}

/// Returns the requests in `counts` that an indicator covers.
fn tally(indicator: &Indicator, counts: &Counts) -> Tally {
    let within_rate = counts.answered + counts.failed + counts.refused_within_rate;
    let (total, bad) = match indicator {
        Indicator::Availability => (within_rate, counts.failed + counts.refused_within_rate),
        Indicator::NotRefused => (within_rate, counts.refused_within_rate),
        Indicator::FirstToken { limit_ms } => {
            count_above(&counts.first_token, &FIRST_TOKEN_BOUNDS_MS, *limit_ms)
        }
        Indicator::BetweenTokens { limit_ms } => {
            count_above(&counts.between_tokens, &BETWEEN_TOKENS_BOUNDS_MS, *limit_ms)
        }
    };
    Tally {
        total: total as f64,
        bad: bad as f64,
    }
}

/// Returns the number of all observations in a histogram and of those above a limit.
fn count_above(histogram: &[u64], bounds_ms: &[u64], limit_ms: u64) -> (u64, u64) {
    let within = bounds_ms.partition_point(|bound_ms| *bound_ms <= limit_ms);
    let bad = histogram.iter().skip(within).sum();
    (histogram.iter().sum(), bad)
}

fn organisations(objective: &Objective, records: &[SloRecord]) -> Vec<Name> {
    if !objective.organisation.is_empty() {
        return vec![objective.organisation.clone()];
    }
    let series = records.iter().flat_map(|record| &record.series);
    let covered = series.filter(|series| covers_route(objective, &series.route));
    let names: BTreeSet<_> = covered.map(|series| series.organisation.clone()).collect();
    names.into_iter().collect()
}

fn windows<'a>(
    objective: &Objective,
    organisation: &str,
    records: &'a [SloRecord],
) -> Vec<&'a Window> {
    let series = records.iter().flat_map(|record| &record.series);
    series
        .filter(|series| &*series.organisation == organisation)
        .filter(|series| covers_route(objective, &series.route))
        .flat_map(|series| &series.windows)
        .collect()
}

fn covers_route(objective: &Objective, route: &Name) -> bool {
    objective.route.is_empty() || objective.route == *route
}

/// Combines a short and a long window: the long window shows that the burn is significant, the
/// short one that it is still going on.
fn alert(five_minutes: f64, hour: f64, six_hours: f64, three_days: f64) -> Alert {
    let is_fast = five_minutes >= FAST_BURN_RATE && hour >= FAST_BURN_RATE;
    let is_medium = hour >= MEDIUM_BURN_RATE && six_hours >= MEDIUM_BURN_RATE;
    if is_fast || is_medium {
        Alert::Page
    } else if six_hours >= SLOW_BURN_RATE && three_days >= SLOW_BURN_RATE {
        Alert::Ticket
    } else {
        Alert::None
    }
}
