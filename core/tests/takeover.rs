//! Takeover of the adapters that a new owner finds in a server.

use std::collections::HashMap;

use mimosabay_core::cases;
use mimosabay_core::handle::Handle;
use mimosabay_core::name::{AdapterVersion, InstanceId, Name};
use mimosabay_core::takeover::{Plan, REPORT_LAG_MS, ReportedAdapters, Takeover};

const OWN_FENCING: u64 = 9;

fn model(adapter: &str) -> AdapterVersion {
    AdapterVersion {
        adapter: adapter.into(),
        version: "v1".into(),
    }
}

fn handle(adapter: &str, loader: &str) -> Name {
    let loader = InstanceId::new(loader, 1);
    let model = model(adapter);
    Handle {
        model,
        loader,
        number: 3,
    }
    .name()
}

/// One handle in the server. The owner decides at once and, if `wait_ms` is above 0, again after it.
struct Case {
    checks_fencing: bool,
    loader: &'static str,
    has_terminated: bool,
    is_running: bool,
    fencing: u64,
    wait_ms: u64,
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Adopted,
    AdoptedAndEvictable,
    Unloaded,
    Reserved,
}

fn outcome(plan: &Plan) -> Outcome {
    match (plan.adopt.len(), plan.evictable.len(), plan.unload.len()) {
        (1, 0, 0) => Outcome::Adopted,
        (1, 1, 0) => Outcome::AdoptedAndEvictable,
        (0, 0, 1) => Outcome::Unloaded,
        (0, 0, 0) if plan.reserved_slots == 1 => Outcome::Reserved,
        _ => panic!("{plan:?}"),
    }
}

fn check_decision(case: &Case, expected: &Outcome) {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), case.checks_fencing);
    let found = handle("tender", case.loader);
    let report = ReportedAdapters {
        fencing: case.fencing,
        handles: vec![found.clone()],
        running: if case.is_running {
            vec![found]
        } else {
            Vec::new()
        },
    };
    let known = HashMap::new();
    let mut decide = |now_ms| {
        takeover.decide(
            &report,
            OWN_FENCING,
            &known,
            |_| case.has_terminated,
            now_ms,
        )
    };
    let mut plan = decide(1_000);
    if case.wait_ms > 0 {
        plan = decide(1_000 + case.wait_ms);
    }
    assert_eq!(outcome(&plan), *expected);
}

const FENCED: Case = Case {
    checks_fencing: true,
    loader: "other",
    has_terminated: false,
    is_running: false,
    fencing: OWN_FENCING,
    wait_ms: 0,
};
const UNFENCED: Case = Case {
    checks_fencing: false,
    ..FENCED
};

cases! {
    check_decision;
    fenced_and_idle_after_the_claim: (&FENCED, &Outcome::AdoptedAndEvictable);
    fenced_but_reported_before_the_claim: (&Case { fencing: 8, ..FENCED }, &Outcome::Adopted);
    fenced_and_running: (&Case { is_running: true, ..FENCED }, &Outcome::Adopted);
    unfenced_of_a_process_that_may_resume: (
        &Case { wait_ms: 10 * REPORT_LAG_MS, ..UNFENCED }, &Outcome::Reserved
    );
    unfenced_of_a_terminated_process_may_still_run: (
        &Case { has_terminated: true, ..UNFENCED }, &Outcome::Reserved
    );
    unfenced_of_a_terminated_process_idle_for_the_lag: (
        &Case { has_terminated: true, wait_ms: REPORT_LAG_MS, ..UNFENCED }, &Outcome::Unloaded
    );
    unfenced_of_a_terminated_process_running: (
        &Case { has_terminated: true, is_running: true, wait_ms: REPORT_LAG_MS, ..UNFENCED },
        &Outcome::Reserved
    );
    unfenced_own_that_is_not_in_use: (
        &Case { loader: "me", wait_ms: REPORT_LAG_MS, ..UNFENCED }, &Outcome::Unloaded
    );
}

#[test]
fn adopted_adapter_becomes_evictable_once_it_is_reported_idle() {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), true);
    let found = handle("tender", "other");
    let mut report = ReportedAdapters {
        fencing: OWN_FENCING,
        handles: vec![found.clone()],
        running: vec![found.clone()],
    };
    let mut known = HashMap::new();
    let plan = takeover.decide(&report, OWN_FENCING, &known, |_| false, 0);
    known.extend(plan.adopt);
    report.running.clear();
    let plan = takeover.decide(&report, OWN_FENCING, &known, |_| false, 500);
    assert_eq!(plan.evictable, [model("tender")]);
    let plan = takeover.decide(&report, OWN_FENCING, &known, |_| false, 1_000);
    assert_eq!(plan, Plan::default());
}

#[test]
fn handle_in_use_is_neither_adopted_nor_unloaded() {
    for checks_fencing in [false, true] {
        let mut takeover = Takeover::new(InstanceId::new("me", 1), checks_fencing);
        let own = handle("tender", "me");
        let known = HashMap::from([(model("tender"), own.clone())]);
        let report = ReportedAdapters {
            fencing: OWN_FENCING,
            handles: vec![own],
            running: Vec::new(),
        };
        for now_ms in [0, REPORT_LAG_MS, 2 * REPORT_LAG_MS] {
            let plan = takeover.decide(&report, OWN_FENCING, &known, |_| false, now_ms);
            assert_eq!(plan, Plan::default());
        }
    }
}

#[test]
fn second_handle_of_an_adapter_in_use_is_unloaded() {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), true);
    let known = HashMap::from([(model("tender"), handle("tender", "me"))]);
    let report = ReportedAdapters {
        fencing: OWN_FENCING,
        handles: vec![handle("tender", "other")],
        running: Vec::new(),
    };
    let plan = takeover.decide(&report, OWN_FENCING, &known, |_| false, 0);
    assert_eq!(plan.unload, [handle("tender", "other")]);
    assert!(plan.adopt.is_empty());
}

#[test]
fn handle_with_a_foreign_name_reserves_a_slot() {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), true);
    let report = ReportedAdapters {
        fencing: OWN_FENCING,
        handles: vec!["somebody-elses".into()],
        running: Vec::new(),
    };
    let plan = takeover.decide(&report, OWN_FENCING, &HashMap::new(), |_| true, 0);
    assert_eq!(plan.reserved_slots, 1);
}
