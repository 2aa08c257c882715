//! Each checker reports a history that violates its guarantee; none reports a correct history.

use mimosabay_core::cases;
use mimosabay_standin::engine::{Outcome, Record, RunRecord};
use mimosabay_standin::fault_injection::{
    AcceptedChange, Fault, Guarantee, History, OrganisationCalls, Step, check, exclusion_reason,
};
use mimosabay_standin::harness::{Attempt, BookingOutcome, BookingRecord, CallOutcome, CallRecord};
use mimosabay_standin::plain;

const KEY: &str = "mb_secret";
const SOURCE: &str = "store://tender/1";
const ORDER: &str = "40 boxes";

cases! {
    reports_violation;
    run_on_another_version: (Guarantee::Adapter, |history| {
        history.engines[0].1.runs[0].source = "store://tender/2".into();
    });
    run_without_a_request: (Guarantee::Adapter, |history| {
        history.engines[0].1.runs[0].prompt = "another".to_owned();
    });
    eviction_in_use: (Guarantee::Eviction, |history| {
        history.engines[0].1.violations.push("unloaded a while it was in use".to_owned());
    });
    key_seen_by_an_engine: (Guarantee::Organisation, |history| {
        let header = ("authorization".to_owned(), format!("Bearer {KEY}"));
        history.engines[0].1.runs[0].headers.push(header);
    });
    key_seen_by_a_plain_service: (Guarantee::Organisation, |history| {
        let header = ("x-key".to_owned(), KEY.to_owned());
        history.plain_servers[0].calls[0].headers.push(header);
    });
    run_long_after_the_withdrawal: (Guarantee::Organisation, |history| {
        history.withdrawn_key = Some(AcceptedChange { name: "clinics".into(), accepted_ms: 0 });
        history.engines[0].1.runs[0].started_ms = 5_000;
    });
    more_than_rate_and_burst: (Guarantee::Rate, |history| {
        history.engines[0].1.runs[0].generated_tokens = 1_000;
    });
    wrong_text: (Guarantee::WholeAnswer, |history| {
        history.organisations[0].calls[0].outcome = CallOutcome::Wrong("another".to_owned());
    });
    wrong_text_before_the_refusal: (Guarantee::WholeAnswer, |history| {
        history.organisations[0].calls[0].outcome = refused("yes", false);
    });
    run_resumed_after_another_text: (Guarantee::WholeAnswer, |history| {
        let details = "a run on x resumed after another text".to_owned();
        history.engines[0].1.violations.push(details);
    });
    generation_reported_as_not_run: (Guarantee::TruthfulRefusal, |history| {
        history.organisations[0].calls[0].outcome = refused("no", true);
    });
    booking_reported_as_not_run: (Guarantee::TruthfulRefusal, |history| {
        let outcome = BookingOutcome::Refused {
            code: "no_server".to_owned(),
            ran: "no".to_owned(),
        };
        history.bookings[0].attempts[0].outcome = outcome;
    });
    booking_made_twice: (Guarantee::AtMostOnce, |history| {
        let call = history.plain_servers[0].calls[0].clone();
        history.plain_servers[0].calls.push(call);
    });
    booking_confirmed_and_not_made: (Guarantee::AtMostOnce, |history| {
        history.plain_servers[0].bookings.clear();
    });
    run_on_a_leaving_server: (Guarantee::LeavingServer, |history| {
        history.leaving_server = Some(AcceptedChange { name: "engine-0".into(), accepted_ms: 0 });
        history.engines[0].1.runs[0].started_ms = 5_000;
    });
    stream_connection_broken: (Guarantee::NothingCut, |history| {
        history.organisations[0].calls[0].outcome = broken_connection();
    });
    booking_connection_broken: (Guarantee::NothingCut, |history| {
        history.bookings[0].attempts[0].outcome = BookingOutcome::Broken("closed".to_owned());
    });
    change_not_accepted: (Guarantee::Configuration, |history| {
        history.unmet_conditions.push("a change was not accepted".to_owned());
    });
}

fn reports_violation(guarantee: Guarantee, alter: fn(&mut History)) {
    let mut history = correct_history();
    alter(&mut history);
    let violations = check(&history);
    assert!(!violations.is_empty(), "no violation was reported");
    for violation in violations {
        assert_eq!(violation.guarantee, guarantee, "{}", violation.details);
    }
}

#[test]
fn correct_history_has_no_violation() {
    assert_eq!(check(&correct_history()), []);
}

#[test]
fn connection_to_a_killed_instance_may_break() {
    let mut history = correct_history();
    history.organisations[0].calls[0].outcome = broken_connection();
    history.killed_addresses.push("127.0.0.1:1".to_owned());
    assert_eq!(check(&history), []);
}

#[test]
fn every_fault_applies_to_a_step() {
    for fault in Fault::ALL {
        let steps = Step::ALL.into_iter();
        let applicable = steps.filter(|step| exclusion_reason(fault, *step).is_none());
        assert!(applicable.count() > 0, "{fault:?} applies to no step");
    }
}

/// One generation and one booking, both without a violation.
fn correct_history() -> History {
    History {
        organisations: vec![OrganisationCalls {
            organisation: "clinics",
            rate_tokens_per_s: 10,
            burst_tokens: 20,
            calls: vec![call()],
        }],
        bookings: vec![booking()],
        engines: vec![("engine-0".into(), engine())],
        plain_servers: vec![plain()],
        keys: vec![KEY],
        ..History::default()
    }
}

fn call() -> CallRecord {
    CallRecord {
        prompt: "soap".to_owned(),
        source: SOURCE,
        address: "127.0.0.1:1".to_owned(),
        sent_ms: 1_000,
        ended_ms: 1_100,
        outcome: CallOutcome::Complete,
    }
}

fn booking() -> BookingRecord {
    let attempt = Attempt {
        address: "127.0.0.1:1".to_owned(),
        outcome: BookingOutcome::Booked(1),
    };
    BookingRecord {
        order: ORDER.to_owned(),
        is_keyed: true,
        attempts: vec![attempt],
    }
}

fn engine() -> Record {
    let run = RunRecord {
        request_id: "r-1".into(),
        handle: "tender@1".into(),
        source: SOURCE.into(),
        prompt: "soap".to_owned(),
        headers: vec![("x-request-id".to_owned(), "r-1".to_owned())],
        boot: 1,
        started_ms: 1_010,
        ended_ms: Some(1_090),
        outcome: Outcome::Finished,
        resumed_tokens: 0,
        generated_tokens: 10,
    };
    Record {
        boot: 1,
        runs: vec![run],
        orders: Vec::new(),
        violations: Vec::new(),
    }
}

fn plain() -> plain::Record {
    let call = plain::CallRecord {
        request_id: "r-2".into(),
        method: "POST".into(),
        path: "/orders/book".to_owned(),
        headers: Vec::new(),
        body: ORDER.to_owned(),
        at_ms: 1_000,
    };
    let booking = plain::Booking {
        request_id: "r-2".into(),
        body: ORDER.to_owned(),
    };
    plain::Record {
        calls: vec![call],
        bookings: vec![booking],
    }
}

fn refused(ran: &str, prefix_right: bool) -> CallOutcome {
    CallOutcome::Refused {
        code: "backend_failed".to_owned(),
        ran: ran.to_owned(),
        has_retry_after: true,
        prefix_right,
    }
}

fn broken_connection() -> CallOutcome {
    CallOutcome::Broken {
        cause: "closed".to_owned(),
        prefix_right: true,
    }
}
