//! Retries after failed attempts, and the share of retries of one instance.

use mimosabay_core::attempt::{Attempts, ExecutionStatus};
use mimosabay_core::cases;
use mimosabay_core::retry_share::RetryShare;
use mimosabay_core::site::RetrySafety;

fn check_attempts(
    retry_safety: RetrySafety,
    max_runs: u32,
    statuses: &[ExecutionStatus],
    may_retry: bool,
    not_run: bool,
) {
    let mut attempts = Attempts::new(retry_safety, max_runs);
    for status in statuses {
        attempts.record_failure(*status);
    }
    assert_eq!(attempts.may_retry(), may_retry);
    assert_eq!(attempts.is_not_run(), not_run);
}

cases! {
    check_attempts;
    booking_not_run: (RetrySafety::Once, 1, &[ExecutionStatus::NotRun], true, true);
    booking_that_may_have_run: (RetrySafety::Once, 3, &[ExecutionStatus::Unknown], false, false);
    booking_that_ran: (RetrySafety::Once, 3, &[ExecutionStatus::Ran], false, false);
    stream_once_that_broke: (RetrySafety::StreamOnce, 2, &[ExecutionStatus::Unknown], false, false);
    lookup_that_failed: (RetrySafety::Idempotent, 2, &[ExecutionStatus::Ran], true, false);
    lookup_out_of_attempts: (
        RetrySafety::Idempotent, 2, &[ExecutionStatus::Ran, ExecutionStatus::Unknown], false, false,
    );
    stream_that_can_resume: (RetrySafety::ResumableStream, 2, &[ExecutionStatus::Unknown], true, false);
    refused_too_often: (
        RetrySafety::Idempotent,
        5,
        &[ExecutionStatus::NotRun, ExecutionStatus::NotRun, ExecutionStatus::NotRun],
        false,
        true,
    );
    booking_that_ran_after_a_refusal: (
        RetrySafety::Once, 3, &[ExecutionStatus::NotRun, ExecutionStatus::Unknown], false, false,
    );
}

cases! {
    retries_of_all_instances_stay_within_ratio_and_burst;
    retries_of_seven_instances: (7, 1_000, 54.0);
    retries_of_twelve_instances: (12, 1_000, 54.0);
    retries_of_eighty_instances: (80, 100, 200.0);
    retries_of_many_instances: (1_300, 300, 200.0);
}

/// Each instance stores as many retries as it can, then uses all available ones during a window.
fn retries_of_all_instances_stay_within_ratio_and_burst(
    instances: usize,
    requests: usize,
    burst: f64,
) {
    const REQUESTS_TO_FILL: usize = 1_000;
    let mut retries = 0;
    for _ in 0..instances {
        let mut share = RetryShare::new(0.2, burst);
        share.set_instance_count(instances);
        for _ in 0..REQUESTS_TO_FILL {
            share.count_request();
        }
        for _ in 0..requests {
            share.count_request();
            while share.try_take_retry() {
                retries += 1;
            }
        }
    }
    let allowed = 0.2 * (instances * requests) as f64 + burst;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(
        f64::from(retries) >= 0.7 * allowed,
        "{retries} of {allowed}"
    );
}
