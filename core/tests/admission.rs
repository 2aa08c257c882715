//! Admission of calls and resolution of their targets.

use mimosabay_core::admission::{CallTarget, admit, is_key_valid};
use mimosabay_core::cases;
use mimosabay_core::config::{ConfigEntry, ConfigTable, ObjectKey};
use mimosabay_core::request::{Code, Ran, RetrySafety};
use mimosabay_core::resource::{Adapter, Key, Organisation, Route, RouteTarget, Spec, VersionSpec};

fn table() -> ConfigTable {
    let organisation = Organisation {
        rate_tokens_per_s: 10,
        burst_tokens: 10,
        weight: 3,
    };
    let key = |withdrawn| Key {
        organisation: "clinics".into(),
        sha256: if withdrawn {
            "old".into()
        } else {
            "good".into()
        },
        withdrawn,
    };
    let other = Key {
        organisation: "markets".into(),
        sha256: "other".into(),
        withdrawn: false,
    };
    let version = |name: &str| VersionSpec {
        version: name.into(),
        source: name.into(),
    };
    let adapter = Adapter {
        base_model: "base".into(),
        pool: "assistant".into(),
        versions: vec![version("v1"), version("v2")],
        current_version: "v2".into(),
        organisations: vec!["clinics".into()],
        idempotent: true,
    };
    let route = |target, open| Route {
        target,
        open,
        organisations: Vec::new(),
        idempotent: None,
        timeout_ms: 5_000,
    };
    let model = RouteTarget::Model {
        adapter: "tender".into(),
        version: Some("v1".into()),
    };
    let plain = |prefix: &str| RouteTarget::Plain {
        pool: "ledger".into(),
        path_prefix: prefix.into(),
    };
    let specs = [
        ("clinics", Spec::Organisation(organisation.clone())),
        ("markets", Spec::Organisation(organisation)),
        ("good", Spec::Key(key(false))),
        ("old", Spec::Key(key(true))),
        ("other", Spec::Key(other)),
        ("tender", Spec::Adapter(adapter)),
        ("drafts", Spec::Route(route(model, false))),
        ("booking", Spec::Route(route(plain("/book"), false))),
        ("status", Spec::Route(route(plain("/book/status"), true))),
    ];
    let mut table = ConfigTable::default();
    for (revision, (name, spec)) in (1..).zip(specs) {
        let key = ObjectKey {
            kind: spec.kind(),
            name: name.into(),
        };
        table.apply(ConfigEntry {
            key,
            revision,
            spec: Some(spec),
        });
    }
    table
}

fn check_refusal(key: Option<&str>, call: CallTarget<'_>, code: Code) {
    let refusal = admit(&table(), key, call, false).unwrap_err();
    assert_eq!(refusal.code, code);
    assert_eq!(refusal.ran, Ran::No);
}

fn check_pinned_version(model: &str, expected: &str) {
    let admitted = admit(&table(), Some("good"), CallTarget::Model(model), false).unwrap();
    assert_eq!(admitted.model.unwrap().to_string(), expected);
    assert_eq!(&*admitted.organisation, "clinics");
    assert_eq!(admitted.weight, 3);
}

fn check_retry_safety(method: &str, keyed: bool, expected: RetrySafety) {
    let call = CallTarget::Plain {
        method,
        path: "/book/7?copies=2",
    };
    assert_eq!(
        admit(&table(), Some("good"), call, keyed)
            .unwrap()
            .retry_safety,
        expected
    );
}

const STATUS: CallTarget<'_> = CallTarget::Plain {
    method: "GET",
    path: "/book/status/7",
};

cases! {
    check_refusal;
    no_key: (None, CallTarget::Model("tender"), Code::UnknownKey);
    unknown_key: (Some("bad"), CallTarget::Model("tender"), Code::UnknownKey);
    unknown_key_does_not_reveal_names: (Some("bad"), CallTarget::Model("nothing"), Code::UnknownKey);
    withdrawn_key: (Some("old"), CallTarget::Model("tender"), Code::WithdrawnKey);
    withdrawn_key_on_an_open_route: (Some("old"), STATUS, Code::WithdrawnKey);
    other_organisation: (Some("other"), CallTarget::Model("tender"), Code::Forbidden);
    other_organisation_by_route: (Some("other"), CallTarget::Model("drafts"), Code::Forbidden);
    unknown_model: (Some("good"), CallTarget::Model("nothing"), Code::UnknownModel);
    unknown_version: (Some("good"), CallTarget::Model("tender@v9"), Code::UnknownVersion);
    unknown_path: (
        Some("good"), CallTarget::Plain { method: "GET", path: "/books" }, Code::UnknownModel,
    );
    plain_route_as_model: (Some("good"), CallTarget::Model("booking"), Code::UnknownModel);
}

cases! {
    check_pinned_version;
    adapter_takes_current_version: ("tender", "tender@v2");
    adapter_at_version: ("tender@v1", "tender@v1");
    route_names_its_version: ("drafts", "tender@v1");
}

cases! {
    check_retry_safety;
    get_is_idempotent: ("GET", false, RetrySafety::Idempotent);
    put_is_idempotent: ("PUT", false, RetrySafety::Idempotent);
    post_runs_once: ("POST", false, RetrySafety::Once);
    post_with_idempotency_key_is_keyed: ("POST", true, RetrySafety::Keyed);
    patch_runs_once: ("PATCH", false, RetrySafety::Once);
}

#[test]
fn longest_prefix_is_chosen_and_an_open_route_needs_no_key() {
    let admitted = admit(&table(), None, STATUS, false).unwrap();
    assert_eq!(&*admitted.organisation, "");
}

#[test]
fn only_keys_that_are_not_withdrawn_are_valid() {
    let table = table();
    assert!(is_key_valid(&table, "good"));
    assert!(is_key_valid(&table, ""));
    assert!(!is_key_valid(&table, "old"));
    assert!(!is_key_valid(&table, "unknown"));
}
