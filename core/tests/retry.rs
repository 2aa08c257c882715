//! What may be tried again.

use mimosabay_core::cases;
use mimosabay_core::request::{Code, Ran, Refusal, Repeat};
use mimosabay_core::retry::{MAX_ATTEMPTS, Next, RetryBudget, decide};

fn retried(repeat: Repeat, code: Code, ran: Ran, attempt: u32, expected: bool) {
    let refusal = Refusal {
        ran,
        ..Refusal::not_run(code, "failed")
    };
    let next = decide(repeat, refusal.clone(), attempt, &mut RetryBudget::new());
    let expected = if expected {
        Next::Retry
    } else {
        Next::GiveUp(refusal)
    };
    assert_eq!(next, expected);
}

cases! {
    retried;
    idempotent_that_may_have_run: (Repeat::Idempotent, Code::BackendFailed, Ran::Yes, 1, true);
    keyed_that_may_have_run: (Repeat::Keyed, Code::BackendFailed, Ran::Unknown, 1, false);
    once_that_may_have_run: (Repeat::Once, Code::InstanceFailed, Ran::Unknown, 1, false);
    once_that_has_not_run: (Repeat::Once, Code::NoServer, Ran::No, 1, true);
    keyed_that_has_not_run: (Repeat::Keyed, Code::NotOwner, Ran::No, 1, true);
    last_attempt: (Repeat::Idempotent, Code::NoServer, Ran::No, MAX_ATTEMPTS, false);
    over_rate: (Repeat::Idempotent, Code::OverRate, Ran::No, 1, false);
    withdrawn_key: (Repeat::Idempotent, Code::WithdrawnKey, Ran::No, 1, false);
    quarantined: (Repeat::Idempotent, Code::Quarantined, Ran::No, 1, false);
    deadline: (Repeat::Idempotent, Code::Timeout, Ran::No, 1, false);
}

#[test]
fn retries_are_a_bounded_share_of_requests() {
    let mut budget = RetryBudget::new();
    while budget.take() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.request();
        retries += u32::from(budget.take());
    }
    assert!(
        (190..=200).contains(&retries),
        "{retries} retries for 1,000 requests"
    );
}
