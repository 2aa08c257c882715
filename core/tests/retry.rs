//! Retry decisions and the retry budget.

use mimosabay_core::cases;
use mimosabay_core::request::{Code, Ran, Refusal, RetrySafety};
use mimosabay_core::retry::{MAX_ATTEMPTS, RetryBudget, RetryDecision, decide};

fn check_decision(retry_safety: RetrySafety, code: Code, ran: Ran, attempt: u32, expected: bool) {
    let refusal = Refusal {
        ran,
        ..Refusal::not_run(code, "failed")
    };
    let decision = decide(
        retry_safety,
        refusal.clone(),
        attempt,
        &mut RetryBudget::new(),
    );
    let expected = if expected {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp(refusal)
    };
    assert_eq!(decision, expected);
}

cases! {
    check_decision;
    idempotent_that_may_have_run: (RetrySafety::Idempotent, Code::BackendFailed, Ran::Yes, 1, true);
    keyed_that_may_have_run: (RetrySafety::Keyed, Code::BackendFailed, Ran::Unknown, 1, false);
    once_that_may_have_run: (RetrySafety::Once, Code::InstanceFailed, Ran::Unknown, 1, false);
    once_that_has_not_run: (RetrySafety::Once, Code::NoServer, Ran::No, 1, true);
    keyed_that_has_not_run: (RetrySafety::Keyed, Code::NotOwner, Ran::No, 1, true);
    last_attempt: (RetrySafety::Idempotent, Code::NoServer, Ran::No, MAX_ATTEMPTS, false);
    over_rate: (RetrySafety::Idempotent, Code::OverRate, Ran::No, 1, false);
    withdrawn_key: (RetrySafety::Idempotent, Code::WithdrawnKey, Ran::No, 1, false);
    quarantined: (RetrySafety::Idempotent, Code::Quarantined, Ran::No, 1, false);
    deadline_passed: (RetrySafety::Idempotent, Code::Timeout, Ran::No, 1, false);
}

#[test]
fn retries_are_a_bounded_share_of_requests() {
    let mut budget = RetryBudget::new();
    while budget.try_take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.count_request();
        retries += u32::from(budget.try_take_retry());
    }
    assert!(
        (190..=200).contains(&retries),
        "{retries} retries for 1,000 requests"
    );
}
