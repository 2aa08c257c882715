//! What a new owner of a server does with the adapters that it finds there.

use std::collections::HashMap;

use mimosabay_core::cases;
use mimosabay_core::handle::Handle;
use mimosabay_core::name::{AdapterVersion, InstanceId, Name};
use mimosabay_core::takeover::{Plan, REPORT_LAG_MS, Seen, Takeover};

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

/// One handle in the server, decided on twice: at once and after `wait_ms`.
struct Case {
    checks_fencing: bool,
    loader: &'static str,
    is_gone: bool,
    is_running: bool,
    fencing: u64,
    wait_ms: u64,
}

#[derive(Debug, PartialEq)]
enum Fate {
    Adopted,
    AdoptedAndEvictable,
    Unloaded,
    Reserved,
}

fn fate(plan: &Plan) -> Fate {
    match (plan.adopt.len(), plan.evictable.len(), plan.unload.len()) {
        (1, 0, 0) => Fate::Adopted,
        (1, 1, 0) => Fate::AdoptedAndEvictable,
        (0, 0, 1) => Fate::Unloaded,
        (0, 0, 0) if plan.reserved_slots == 1 => Fate::Reserved,
        _ => panic!("{plan:?}"),
    }
}

fn decides(case: &Case, expected: &Fate) {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), case.checks_fencing);
    let found = handle("tender", case.loader);
    let seen = Seen {
        fencing: case.fencing,
        handles: vec![found.clone()],
        running: if case.is_running {
            vec![found]
        } else {
            Vec::new()
        },
    };
    let known = HashMap::new();
    let mut decide = |now_ms| takeover.decide(&seen, OWN_FENCING, &known, |_| case.is_gone, now_ms);
    let mut plan = decide(1_000);
    if case.wait_ms > 0 {
        plan = decide(1_000 + case.wait_ms);
    }
    assert_eq!(fate(&plan), *expected);
}

const FENCED: Case = Case {
    checks_fencing: true,
    loader: "other",
    is_gone: false,
    is_running: false,
    fencing: OWN_FENCING,
    wait_ms: 0,
};
const UNFENCED: Case = Case {
    checks_fencing: false,
    ..FENCED
};

cases! {
    decides;
    fenced_and_idle_after_the_claim: (&FENCED, &Fate::AdoptedAndEvictable);
    fenced_but_reported_before_the_claim: (&Case { fencing: 8, ..FENCED }, &Fate::Adopted);
    fenced_and_running: (&Case { is_running: true, ..FENCED }, &Fate::Adopted);
    unfenced_of_a_process_that_may_thaw: (
        &Case { wait_ms: 10 * REPORT_LAG_MS, ..UNFENCED }, &Fate::Reserved
    );
    unfenced_of_a_gone_process_may_still_run: (
        &Case { is_gone: true, ..UNFENCED }, &Fate::Reserved
    );
    unfenced_of_a_gone_process_idle_for_the_lag: (
        &Case { is_gone: true, wait_ms: REPORT_LAG_MS, ..UNFENCED }, &Fate::Unloaded
    );
    unfenced_of_a_gone_process_running: (
        &Case { is_gone: true, is_running: true, wait_ms: REPORT_LAG_MS, ..UNFENCED },
        &Fate::Reserved
    );
    unfenced_own_that_was_forgotten: (
        &Case { loader: "me", wait_ms: REPORT_LAG_MS, ..UNFENCED }, &Fate::Unloaded
    );
}

#[test]
fn an_adopted_adapter_becomes_evictable_once_it_is_seen_idle() {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), true);
    let found = handle("tender", "other");
    let mut seen = Seen {
        fencing: OWN_FENCING,
        handles: vec![found.clone()],
        running: vec![found.clone()],
    };
    let mut known = HashMap::new();
    let plan = takeover.decide(&seen, OWN_FENCING, &known, |_| false, 0);
    known.extend(plan.adopt);
    seen.running.clear();
    let plan = takeover.decide(&seen, OWN_FENCING, &known, |_| false, 500);
    assert_eq!(plan.evictable, [model("tender")]);
    let plan = takeover.decide(&seen, OWN_FENCING, &known, |_| false, 1_000);
    assert_eq!(plan, Plan::default());
}

#[test]
fn a_handle_in_use_here_is_neither_adopted_nor_unloaded() {
    for checks_fencing in [false, true] {
        let mut takeover = Takeover::new(InstanceId::new("me", 1), checks_fencing);
        let own = handle("tender", "me");
        let known = HashMap::from([(model("tender"), own.clone())]);
        let seen = Seen {
            fencing: OWN_FENCING,
            handles: vec![own],
            running: Vec::new(),
        };
        for now_ms in [0, REPORT_LAG_MS, 2 * REPORT_LAG_MS] {
            let plan = takeover.decide(&seen, OWN_FENCING, &known, |_| false, now_ms);
            assert_eq!(plan, Plan::default());
        }
    }
}

#[test]
fn a_second_handle_of_an_adapter_is_not_used_beside_the_first() {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), true);
    let known = HashMap::from([(model("tender"), handle("tender", "me"))]);
    let seen = Seen {
        fencing: OWN_FENCING,
        handles: vec![handle("tender", "other")],
        running: Vec::new(),
    };
    let plan = takeover.decide(&seen, OWN_FENCING, &known, |_| false, 0);
    assert_eq!(plan.unload, [handle("tender", "other")]);
    assert!(plan.adopt.is_empty());
}

#[test]
fn a_handle_that_this_system_did_not_make_takes_a_slot() {
    let mut takeover = Takeover::new(InstanceId::new("me", 1), true);
    let seen = Seen {
        fencing: OWN_FENCING,
        handles: vec!["somebody-elses".into()],
        running: Vec::new(),
    };
    let plan = takeover.decide(&seen, OWN_FENCING, &HashMap::new(), |_| true, 0);
    assert_eq!(plan.reserved_slots, 1);
}
