//! Who may enter, and what exactly a call asks for.

use mimosabay_core::admission::{Ask, admit, key_works};
use mimosabay_core::cases;
use mimosabay_core::config::{Accepted, ConfigTable, ObjectKey};
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
        table.apply(Accepted {
            key,
            revision,
            spec: Some(spec),
        });
    }
    table
}

fn refused(key: Option<&str>, ask: Ask<'_>, code: Code) {
    let refusal = admit(&table(), key, ask, false).unwrap_err();
    assert_eq!(refusal.code, code);
    assert_eq!(refusal.ran, Ran::No);
}

fn pinned(model: &str, expected: &str) {
    let admitted = admit(&table(), Some("good"), Ask::Model(model), false).unwrap();
    assert_eq!(admitted.model.unwrap().to_string(), expected);
    assert_eq!(&*admitted.organisation, "clinics");
    assert_eq!(admitted.weight, 3);
}

fn check_retry_safety(method: &str, keyed: bool, expected: RetrySafety) {
    let ask = Ask::Plain {
        method,
        path: "/book/7?copies=2",
    };
    assert_eq!(
        admit(&table(), Some("good"), ask, keyed)
            .unwrap()
            .retry_safety,
        expected
    );
}

const STATUS: Ask<'_> = Ask::Plain {
    method: "GET",
    path: "/book/status/7",
};

cases! {
    refused;
    no_key: (None, Ask::Model("tender"), Code::UnknownKey);
    unknown_key: (Some("bad"), Ask::Model("tender"), Code::UnknownKey);
    unknown_key_learns_no_names: (Some("bad"), Ask::Model("nothing"), Code::UnknownKey);
    withdrawn_key: (Some("old"), Ask::Model("tender"), Code::WithdrawnKey);
    withdrawn_key_on_an_open_route: (Some("old"), STATUS, Code::WithdrawnKey);
    other_organisation: (Some("other"), Ask::Model("tender"), Code::Forbidden);
    other_organisation_by_route: (Some("other"), Ask::Model("drafts"), Code::Forbidden);
    unknown_model: (Some("good"), Ask::Model("nothing"), Code::UnknownModel);
    unknown_version: (Some("good"), Ask::Model("tender@v9"), Code::UnknownVersion);
    unknown_path: (Some("good"), Ask::Plain { method: "GET", path: "/books" }, Code::UnknownModel);
    plain_route_as_model: (Some("good"), Ask::Model("booking"), Code::UnknownModel);
}

cases! {
    pinned;
    adapter_takes_current_version: ("tender", "tender@v2");
    adapter_at_version: ("tender@v1", "tender@v1");
    route_names_its_version: ("drafts", "tender@v1");
}

cases! {
    check_retry_safety;
    get_is_idempotent: ("GET", false, RetrySafety::Idempotent);
    put_is_idempotent: ("PUT", false, RetrySafety::Idempotent);
    post_runs_once: ("POST", false, RetrySafety::Once);
    post_with_key_is_recognised: ("POST", true, RetrySafety::Keyed);
    patch_runs_once: ("PATCH", false, RetrySafety::Once);
}

#[test]
fn the_longest_prefix_wins_and_an_open_route_needs_no_key() {
    let admitted = admit(&table(), None, STATUS, false).unwrap();
    assert_eq!(&*admitted.organisation, "");
}

#[test]
fn only_keys_that_are_not_withdrawn_work() {
    let table = table();
    assert!(key_works(&table, "good"));
    assert!(key_works(&table, ""));
    assert!(!key_works(&table, "old"));
    assert!(!key_works(&table, "unknown"));
}
