//! Each checker finds a history that breaks its promise, and none finds fault with a good one.

use mimosabay_core::cases;
use mimosabay_standin::engine::{Outcome, Record, RunRecord};
use mimosabay_standin::fault_injection::{
    AcceptedChange, Fault, Guarantee, History, OrganisationCalls, Step, check, excluded,
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
    run_that_nobody_asked_for: (Guarantee::Adapter, |history| {
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
        history.plains[0].calls[0].headers.push(header);
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
    gap_before_the_refusal: (Guarantee::WholeAnswer, |history| {
        history.organisations[0].calls[0].outcome = refused("yes", false);
    });
    resumed_after_another_text: (Guarantee::WholeAnswer, |history| {
        let details = "a run on x resumed after another text".to_owned();
        history.engines[0].1.violations.push(details);
    });
    generation_that_ran_after_all: (Guarantee::TruthfulRefusal, |history| {
        history.organisations[0].calls[0].outcome = refused("no", true);
    });
    booking_that_ran_after_all: (Guarantee::TruthfulRefusal, |history| {
        let outcome = BookingOutcome::Refused { code: "no_server".to_owned(), ran: "no".to_owned() };
        history.bookings[0].attempts[0].outcome = outcome;
    });
    booking_made_twice: (Guarantee::AtMostOnce, |history| {
        let call = history.plains[0].calls[0].clone();
        history.plains[0].calls.push(call);
    });
    booking_confirmed_and_not_made: (Guarantee::AtMostOnce, |history| {
        history.plains[0].bookings.clear();
    });
    work_on_a_leaving_server: (Guarantee::LeavingServer, |history| {
        history.leaving_server = Some(AcceptedChange { name: "engine-0".into(), accepted_ms: 0 });
        history.engines[0].1.runs[0].started_ms = 5_000;
    });
    stream_cut: (Guarantee::NothingCut, |history| {
        history.organisations[0].calls[0].outcome = broken();
    });
    booking_cut: (Guarantee::NothingCut, |history| {
        history.bookings[0].attempts[0].outcome = BookingOutcome::Broken("closed".to_owned());
    });
    change_not_accepted: (Guarantee::Configuration, |history| {
        history.unmet_conditions.push("a change was not accepted".to_owned());
    });
}

fn reports_violation(guarantee: Guarantee, alter: fn(&mut History)) {
    let mut history = good();
    alter(&mut history);
    let found = check(&history);
    assert!(!found.is_empty(), "nothing was found");
    for violation in found {
        assert_eq!(violation.guarantee, guarantee, "{}", violation.details);
    }
}

#[test]
fn good_history() {
    assert_eq!(check(&good()), []);
}

#[test]
fn connection_to_a_killed_instance_may_break() {
    let mut history = good();
    history.organisations[0].calls[0].outcome = broken();
    history.killed_addresses.push("127.0.0.1:1".to_owned());
    assert_eq!(check(&history), []);
}

#[test]
fn every_pair_runs_or_has_a_reason() {
    for fault in Fault::ALL {
        let steps = Step::ALL.into_iter();
        let runs = steps.filter(|step| excluded(fault, *step).is_none());
        assert!(runs.count() > 0, "{fault:?} never strikes");
    }
}

/// One generation and one booking, both as they should be.
fn good() -> History {
    History {
        organisations: vec![OrganisationCalls {
            organisation: "clinics",
            rate_tokens_per_s: 10,
            burst_tokens: 20,
            calls: vec![call()],
        }],
        bookings: vec![booking()],
        engines: vec![("engine-0".into(), engine())],
        plains: vec![plain()],
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

fn broken() -> CallOutcome {
    CallOutcome::Broken {
        cause: "closed".to_owned(),
        prefix_right: true,
    }
}
