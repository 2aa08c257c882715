//! Service-level counters, their storage and the computation of burn rates.

use arbtest::arbtest;
use mimosabay_core::cases;
use mimosabay_core::resource::{Indicator, Objective};
use mimosabay_operator::SloRecorder;
use mimosabay_operator::burn::{Alert, ObjectiveReport, report};
use mimosabay_operator::slo::{
    BETWEEN_TOKENS_BOUNDS_MS, FIRST_TOKEN_BOUNDS_MS, MAX_SERIES, OTHER, Outcome, SloRecord,
};
use mimosabay_platform::MAX_VALUE_BYTES;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;
/// 2027-01-01T00:00:00Z.
const START_MS: u64 = 1_798_761_600_000;

const GOOD: Outcome = Outcome::Answered {
    first_token_ms: Some(1_700),
    between_tokens_ms: Some(45),
};
const SLOW: Outcome = Outcome::Answered {
    first_token_ms: Some(1_701),
    between_tokens_ms: Some(46),
};

fn objective(indicator: Indicator, target: f64) -> Objective {
    Objective {
        indicator,
        target,
        organisation: "clinics".into(),
        route: "".into(),
    }
}

/// Builds a record from `(outcome, count, at_ms)` entries.
fn record(outcomes: &[(Outcome, u64, u64)]) -> SloRecord {
    let mut record = SloRecord::default();
    for (outcome, count, at_ms) in outcomes {
        for _ in 0..*count {
            record
                .series_mut("clinics", "notes")
                .count(*outcome, *at_ms);
        }
    }
    record
}

fn line(
    indicator: Indicator,
    target: f64,
    record: &SloRecord,
    sunset_ms: Option<u64>,
    now_ms: u64,
) -> ObjectiveReport {
    let objectives = [("o".into(), objective(indicator, target))];
    let mut report = report(&objectives, std::slice::from_ref(record), sunset_ms, now_ms);
    assert_eq!(report.objectives.len(), 1);
    report.objectives.remove(0)
}

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-6, "{value} is not {expected}");
}

/// Checks the burn rate of 90 good requests and 10 of `outcome` in the last minute, with a target
/// of 95%.
fn burn_rate_of(indicator: Indicator, outcome: Outcome, expected: f64) {
    let now_ms = START_MS + MINUTE_MS;
    let record = record(&[(GOOD, 90, START_MS), (outcome, 10, START_MS)]);
    let line = line(indicator, 0.95, &record, None, now_ms);
    for window in &line.windows {
        assert_near(window.burn_rate, expected);
    }
}

cases! {
    burn_rate_of;
    failures_count_for_availability: (Indicator::Availability, Outcome::Failed, 2.0);
    refusals_within_rate_count_for_availability: (
        Indicator::Availability, Outcome::RefusedWithinRate, 2.0
    );
    refusals_over_rate_count_for_nothing: (
        Indicator::Availability, Outcome::RefusedOverRate, 0.0
    );
    failures_are_not_refusals: (Indicator::NotRefused, Outcome::Failed, 0.0);
    refusals_within_rate_are_refusals: (Indicator::NotRefused, Outcome::RefusedWithinRate, 2.0);
    first_tokens_above_the_limit: (Indicator::FirstToken { limit_ms: 1_700 }, SLOW, 2.0);
    first_tokens_below_a_longer_limit: (Indicator::FirstToken { limit_ms: 2_500 }, SLOW, 0.0);
    time_between_tokens_above_the_limit: (Indicator::BetweenTokens { limit_ms: 45 }, SLOW, 2.0);
    plain_answers_have_no_first_token: (
        Indicator::FirstToken { limit_ms: 50 },
        Outcome::Answered { first_token_ms: None, between_tokens_ms: None },
        20.0
    );
}

/// Checks the alert for `failed` failures `age_ms` ago and 1,000 good requests in each of the last
/// 72 hours, with a target of 99%.
fn alert_is(failed: u64, age_ms: u64, expected: Alert) {
    let now_ms = START_MS + 4 * DAY_MS;
    let mut outcomes: Vec<_> = (1..=72)
        .map(|hours| (GOOD, 1_000, now_ms - hours * HOUR_MS + 1))
        .collect();
    outcomes.push((GOOD, 90, now_ms - 1));
    outcomes.push((Outcome::Failed, failed, now_ms - age_ms));
    let line = line(
        Indicator::Availability,
        0.99,
        &record(&outcomes),
        None,
        now_ms,
    );
    assert_eq!(line.alert, expected, "{:?}", line.windows);
}

cases! {
    alert_is;
    no_failures: (0, 1, Alert::None);
    few_failures: (10, 1, Alert::None);
    an_outage_now: (300, 1, Alert::Page);
    an_outage_an_hour_and_a_half_ago: (300, 90 * MINUTE_MS, Alert::None);
    slow_burn: (1_000, 5 * HOUR_MS, Alert::Ticket);
}

#[test]
fn partly_overlapping_counters_count_in_proportion() {
    let record = record(&[
        (Outcome::Failed, 10, START_MS),
        (GOOD, 4, START_MS + 5 * MINUTE_MS),
    ]);
    let now_ms = START_MS + 7 * MINUTE_MS;
    let line = line(Indicator::Availability, 0.9, &record, None, now_ms);
    assert_near(line.windows[0].tally.bad, 6.0);
    assert_near(line.windows[0].tally.total, 10.0);
}

#[test]
fn budget_period_ends_at_the_sunset_date() {
    // One day at 100 good requests per hour with 12 failures; 9 days remain.
    let mut outcomes: Vec<_> = (0..24)
        .map(|hour| (GOOD, 100, START_MS + hour * HOUR_MS))
        .collect();
    outcomes.push((Outcome::Failed, 12, START_MS));
    let now_ms = START_MS + DAY_MS;
    let sunset_ms = START_MS + 10 * DAY_MS;
    let line = line(
        Indicator::Availability,
        0.99,
        &record(&outcomes),
        Some(sunset_ms),
        now_ms,
    );
    assert_near(line.budget.allowed_bad, 241.2);
    assert_near(line.budget.left_share, 1.0 - 12.0 / 241.2);
    assert_eq!(line.budget.spent_at_ms, None);
}

#[test]
fn budget_spent_early_reports_when() {
    let outcomes = [(GOOD, 900, START_MS), (Outcome::Failed, 30, START_MS)];
    let now_ms = START_MS + DAY_MS;
    let sunset_ms = START_MS + 10 * DAY_MS;
    let line = line(
        Indicator::Availability,
        0.99,
        &record(&outcomes),
        Some(sunset_ms),
        now_ms,
    );
    // 93 failures are allowed in ten days, and 30 occur per day.
    let left_ms = line.budget.spent_at_ms.expect("the budget is spent") - now_ms;
    assert_near(left_ms as f64 / DAY_MS as f64, 2.1);
}

#[test]
fn objective_without_organisation_covers_all_organisations() {
    let mut record = record(&[(GOOD, 1, START_MS)]);
    record
        .series_mut("schools", "notes")
        .count(Outcome::Failed, START_MS);
    record.series_mut("schools", "drafts").count(GOOD, START_MS);
    let objective = Objective {
        organisation: "".into(),
        ..objective(Indicator::Availability, 0.5)
    };
    let report = report(&[("o".into(), objective)], &[record], None, START_MS + 1);
    let totals: Vec<_> = report
        .objectives
        .iter()
        .map(|line| (&*line.organisation, line.windows[0].tally.total))
        .collect();
    assert_eq!(totals, [("clinics", 1.0), ("schools", 2.0)]);
}

/// Returns the number of answered requests in a record.
fn answered(record: &SloRecord) -> u64 {
    let windows = record.series.iter().flat_map(|series| &series.windows);
    windows.map(|window| window.counts.answered).sum()
}

#[test]
fn compaction_keeps_counts_and_disjoint_windows() {
    arbtest(|u| {
        let mut record = SloRecord::default();
        let mut now_ms = START_MS;
        let mut counted = 0;
        for _ in 0..u.int_in_range(1..=60)? {
            now_ms += u.int_in_range(0..=200)? * HOUR_MS + u.int_in_range(0..=59)? * MINUTE_MS;
            record.series_mut("clinics", "notes").count(GOOD, now_ms);
            counted += 1;
            if u.arbitrary()? {
                record.compact(now_ms);
            }
        }
        record.compact(now_ms);
        assert_eq!(answered(&record), counted);
        let windows = &record.series[0].windows;
        assert!(
            windows
                .windows(2)
                .all(|pair| pair[0].end_ms() <= pair[1].start_ms)
        );
        assert!(windows.len() <= 36 + 75 + 32, "{}", windows.len());
        Ok(())
    });
}

/// Builds a record in which every series and every bucket is in use, up to `now_ms`.
fn full_record(now_ms: u64) -> SloRecord {
    let hours = (0..62 * 24).rev().map(|hours| now_ms - hours * HOUR_MS);
    let minutes = (0..8 * 12)
        .rev()
        .map(|steps| now_ms - steps * 5 * MINUTE_MS);
    let times: Vec<_> = hours.chain(minutes).collect();
    let mut record = SloRecord::default();
    for series in 0..=MAX_SERIES {
        let organisation = format!("organisation-{series}");
        let series = record.series_mut(&organisation, "a-route");
        for at_ms in &times {
            series.count(Outcome::Failed, *at_ms);
        }
    }
    record.compact(now_ms);
    let windows = record
        .series
        .iter_mut()
        .flat_map(|series| &mut series.windows);
    for counts in windows.map(|window| &mut window.counts) {
        counts.answered = 1_000_000;
        counts.first_token = vec![100_000; FIRST_TOKEN_BOUNDS_MS.len() + 1];
        counts.between_tokens = vec![100_000; BETWEEN_TOKENS_BOUNDS_MS.len() + 1];
    }
    record
}

#[test]
fn full_record_fits_into_the_store() {
    let record = full_record(START_MS + 70 * DAY_MS);
    assert_eq!(record.series.len(), MAX_SERIES + 1);
    assert!(
        record
            .series
            .iter()
            .any(|series| &*series.organisation == OTHER)
    );
    let bytes = serde_json::to_vec(&record).expect("a record is JSON").len();
    println!("a full record has {bytes} bytes");
    assert!(bytes < MAX_VALUE_BYTES, "{bytes}");
}

#[test]
fn each_outcome_is_stored_exactly_once_despite_failed_writes() {
    arbtest(|u| {
        let mut stored: Option<SloRecord> = None;
        let mut recorders: Vec<_> = (1..=3).map(SloRecorder::new).collect();
        let mut counted = 0;
        for _ in 0..u.int_in_range(1..=40)? {
            let recorder = &mut recorders[u.int_in_range(0..=2)?];
            if u.arbitrary()? {
                recorder.count("clinics", "notes", GOOD, START_MS);
                counted += 1;
                continue;
            }
            let Some(merged) = recorder.merge(stored.clone(), START_MS) else {
                continue;
            };
            match u.int_in_range(0..=2)? {
                0 => {}
                1 => stored = Some(merged),
                _ => {
                    stored = Some(merged);
                    recorder.confirm_write();
                }
            }
        }
        for recorder in &mut recorders {
            while let Some(merged) = recorder.merge(stored.clone(), START_MS) {
                stored = Some(merged);
                recorder.confirm_write();
            }
        }
        assert_eq!(answered(&stored.unwrap_or_default()), counted);
        Ok(())
    });
}
