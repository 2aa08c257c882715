//! Validation: one case per rule and kind.

use mimosabay_core::cases;
use mimosabay_core::config::{ConfigEntry, ConfigTable, ObjectKey};
use mimosabay_core::resource::Kind;
use mimosabay_operator::{validate, validate_deletion};
use serde_json::{Value, json};

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const OTHER_HASH: &str = "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Returns a table with at least one resource of each kind but `objective`.
fn table() -> ConfigTable {
    let mut table = ConfigTable::default();
    let resources = [
        (
            Kind::Organisation,
            "clinics",
            json!({"rate_tokens_per_s": 10, "burst_tokens": 10}),
        ),
        (
            Kind::Key,
            "live",
            json!({"organisation": "clinics", "sha256": HASH}),
        ),
        (
            Kind::Key,
            "gone",
            json!({"organisation": "clinics", "sha256": OTHER_HASH, "withdrawn": true}),
        ),
        (
            Kind::Adapter,
            "tender",
            adapter(json!([["v1", "a"], ["v2", "b"]]), "v1"),
        ),
        (Kind::BackendServer, "engine-1", engine("127.0.0.1:8000")),
        (
            Kind::Route,
            "notes",
            json!({"target": {"model": {"adapter": "tender", "version": "v2"}}}),
        ),
        (Kind::Route, "orders", plain_route("/orders")),
        (Kind::Site, "site", json!({"base_model": "base"})),
    ];
    for (revision, (kind, name, value)) in (1..).zip(resources) {
        let spec = validate(kind, name, &value, &table).expect("the sample is valid");
        let name = name.into();
        table.apply(ConfigEntry {
            key: ObjectKey { kind, name },
            revision,
            spec: Some(spec),
        });
    }
    table
}

fn adapter(versions: Value, current: &str) -> Value {
    let versions: Vec<[String; 2]> = serde_json::from_value(versions).expect("pairs of strings");
    let versions: Vec<_> = versions
        .into_iter()
        .map(|[version, source]| json!({"version": version, "source": source}))
        .collect();
    json!({"base_model": "base", "pool": "chat", "versions": versions, "current_version": current})
}

fn engine(address: &str) -> Value {
    json!({"address": address, "zone": "a", "kind": "engine", "pool": "chat",
           "base_model": "base", "slots": 4})
}

fn plain_route(prefix: &str) -> Value {
    json!({"target": {"plain": {"pool": "desk", "path_prefix": prefix}}})
}

fn rejected(kind: Kind, name: &str, value: &Value, expected: &[&str]) {
    let errors = validate(kind, name, value, &table()).expect_err("the resource is invalid");
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(lines, expected);
}

fn accepted(kind: Kind, name: &str, value: &Value) {
    let spec = validate(kind, name, value, &table()).expect("the resource is valid");
    assert_eq!(spec.kind(), kind);
}

cases! {
    rejected;
    unknown_field: (
        Kind::Organisation, "schools",
        &json!({"rate_tokens_per_s": 10, "burst_tokens": 10, "bursts": 1}),
        &["organisation/schools: field `bursts` is 1, allowed: one of \
           `rate_tokens_per_s`, `burst_tokens`, `weight`"]
    );
    missing_field: (
        Kind::Organisation, "schools", &json!({"rate_tokens_per_s": 10}),
        &["organisation/schools: field `burst_tokens` is absent, \
           allowed: a value for this field"]
    );
    wrong_type: (
        Kind::Organisation, "schools", &json!({"rate_tokens_per_s": "10", "burst_tokens": 1}),
        &["organisation/schools: field `rate_tokens_per_s` is \"10\", allowed: u64"]
    );
    wrong_type_in_list: (
        Kind::Adapter, "stock",
        &json!({"base_model": "base", "pool": "chat", "current_version": "v1",
                "versions": [{"version": "v1", "source": "a"}, {"version": 2, "source": "a"}]}),
        &["adapter/stock: field `versions[1].version` is 2, allowed: a string"]
    );
    not_an_object: (
        Kind::Organisation, "schools", &json!(7),
        &["organisation/schools: field `spec` is 7, allowed: struct Organisation"]
    );
    unknown_server_kind: (
        Kind::BackendServer, "s",
        &json!({"address": "127.0.0.1:1", "zone": "a", "kind": "gpu", "pool": "p"}),
        &["backend_server/s: field `kind` is \"gpu\", allowed: `engine` or `plain`"]
    );
    name_with_slash: (
        Kind::Organisation, "a/b", &json!({"rate_tokens_per_s": 10, "burst_tokens": 10}),
        &["organisation/a/b: field `name` is \"a/b\", allowed: 1 to 128 characters of \
           lower-case letters, digits, `-`, `.` and `_`"]
    );
    zero_rate_and_burst: (
        Kind::Organisation, "schools", &json!({"rate_tokens_per_s": 0, "burst_tokens": 0}),
        &["organisation/schools: field `rate_tokens_per_s` is 0, \
           allowed: a whole number from 1 to 1000000000000",
          "organisation/schools: field `burst_tokens` is 0, \
           allowed: a whole number from 1 to 1000000000000"]
    );
    key_without_organisation: (
        Kind::Key, "k", &json!({"organisation": "schools", "sha256": "2".repeat(64)}),
        &["key/k: field `organisation` is \"schools\", \
           allowed: the name of an existing organisation"]
    );
    key_in_place_of_hash_is_not_shown: (
        Kind::Key, "k", &json!({"organisation": "clinics", "sha256": "mb_secret"}),
        &["key/k: field `sha256` is \"not a hash\", \
           allowed: 64 lower-case hexadecimal digits, as `key create` writes them"]
    );
    withdrawn_key_is_reinstated: (
        Kind::Key, "gone", &json!({"organisation": "clinics", "sha256": OTHER_HASH}),
        &["key/gone: field `withdrawn` is false, \
           allowed: true, because a withdrawn key cannot be reinstated"]
    );
    withdrawn_key_under_another_name: (
        Kind::Key, "back", &json!({"organisation": "clinics", "sha256": OTHER_HASH}),
        &["key/back: field `sha256` is \"the hash of key/gone\", \
           allowed: a hash that no other key has"]
    );
    key_changes_hash: (
        Kind::Key, "live", &json!({"organisation": "clinics", "sha256": "2".repeat(64)}),
        &["key/live: field `sha256` is \"another hash\", \
           allowed: the hash it was created with; create another key instead"]
    );
    current_version_absent: (
        Kind::Adapter, "stock", &adapter(json!([["v1", "a"]]), "v9"),
        &["adapter/stock: field `current_version` is \"v9\", allowed: one of v1"]
    );
    version_twice: (
        Kind::Adapter, "stock", &adapter(json!([["v1", "a"], ["v1", "b"]]), "v1"),
        &["adapter/stock: field `versions[1].version` is \"v1\", \
           allowed: a name that no other version has"]
    );
    version_with_at_sign: (
        Kind::Adapter, "stock", &adapter(json!([["v@1", "a"]]), "v@1"),
        &["adapter/stock: field `versions[0].version` is \"v@1\", allowed: 1 to 128 characters \
           of lower-case letters, digits, `-`, `.` and `_`"]
    );
    version_changes_source: (
        Kind::Adapter, "tender", &adapter(json!([["v1", "z"], ["v2", "b"]]), "v1"),
        &["adapter/tender: field `versions[0].source` is \"z\", \
           allowed: `a`; add another version instead"]
    );
    version_in_use_removed: (
        Kind::Adapter, "tender", &adapter(json!([["v1", "a"]]), "v1"),
        &["adapter/tender: field `versions` is \"one of v1\", \
           allowed: a list with `v2`, which route/notes refers to"]
    );
    adapter_named_like_a_route: (
        Kind::Adapter, "notes", &adapter(json!([["v1", "a"]]), "v1"),
        &["adapter/notes: field `name` is \"notes\", allowed: a name that no route has"]
    );
    route_to_unknown_adapter: (
        Kind::Route, "r", &json!({"target": {"model": {"adapter": "stock"}}}),
        &["route/r: field `target.model.adapter` is \"stock\", \
           allowed: the name of an existing adapter"]
    );
    route_to_unknown_version: (
        Kind::Route, "r", &json!({"target": {"model": {"adapter": "tender", "version": "v9"}}}),
        &["route/r: field `target.model.version` is \"v9\", allowed: one of v1, v2"]
    );
    route_over_the_api: (
        Kind::Route, "r", &plain_route("/v1"),
        &["route/r: field `target.plain.path_prefix` is \"/v1\", allowed: a path that begins \
           with `/` and does not end with it, without empty parts, `..`, `?`, `#` and `%`, \
           apart from /v1, /healthz and /readyz"]
    );
    route_with_taken_prefix: (
        Kind::Route, "r", &plain_route("/orders"),
        &["route/r: field `target.plain.path_prefix` is \"/orders\", \
           allowed: a prefix that route/orders does not have"]
    );
    open_route_for_some: (
        Kind::Route, "r",
        &json!({"target": {"plain": {"pool": "desk", "path_prefix": "/tides"}},
                "open": true, "organisations": ["clinics"]}),
        &["route/r: field `organisations` is [\"clinics\"], \
           allowed: an empty list on a route that is open to all"]
    );
    server_by_host_name: (
        Kind::BackendServer, "engine-2", &engine("engine:8000"),
        &["backend_server/engine-2: field `address` is \"engine:8000\", \
           allowed: an IP address and a port, such as 127.0.0.1:8000"]
    );
    server_with_taken_address: (
        Kind::BackendServer, "engine-2", &engine("127.0.0.1:8000"),
        &["backend_server/engine-2: field `address` is \"127.0.0.1:8000\", \
           allowed: an address that backend_server/engine-1 does not have"]
    );
    route_prefix_that_never_matches: (
        Kind::Route, "r", &plain_route("/stock/"),
        &["route/r: field `target.plain.path_prefix` is \"/stock/\", allowed: a path that begins \
           with `/` and does not end with it, without empty parts, `..`, `?`, `#` and `%`, \
           apart from /v1, /healthz and /readyz"]
    );
    second_site: (
        Kind::Site, "second", &json!({"base_model": "base"}),
        &["site/second: field `name` is \"second\", allowed: `site`, because only one site may exist"]
    );
    objective_without_slack: (
        Kind::Objective, "o", &json!({"indicator": "availability", "target": 1.0}),
        &["objective/o: field `target` is 1.0, allowed: a number above 0 and below 1"]
    );
    objective_between_bounds: (
        Kind::Objective, "o",
        &json!({"indicator": {"between_tokens": {"limit_ms": 46}}, "target": 0.95}),
        &["objective/o: field `indicator.between_tokens.limit_ms` is 46, \
           allowed: one of 10, 20, 30, 45, 60, 100, 200, 500, 1000 milliseconds"]
    );
    unknown_indicator: (
        Kind::Objective, "o", &json!({"indicator": "speed", "target": 0.95}),
        &["objective/o: field `indicator` is \"speed\", allowed: one of `availability`, \
           `not_refused`, `first_token`, `between_tokens`"]
    );
    sunset_on_no_day: (
        Kind::Site, "site", &json!({"base_model": "base", "sunset_date": "2027-02-29"}),
        &["site/site: field `sunset_date` is \"2027-02-29\", allowed: a date as YYYY-MM-DD"]
    );
}

cases! {
    accepted;
    organisation: (
        Kind::Organisation, "schools", &json!({"rate_tokens_per_s": 1, "burst_tokens": 1})
    );
    key_of_present_organisation: (
        Kind::Key, "k", &json!({"organisation": "clinics", "sha256": "2".repeat(64)})
    );
    key_is_withdrawn: (
        Kind::Key, "live", &json!({"organisation": "clinics", "sha256": HASH, "withdrawn": true})
    );
    version_is_added: (
        Kind::Adapter, "tender", &adapter(json!([["v1", "a"], ["v2", "b"], ["v3", "c"]]), "v3")
    );
    route_to_current_version: (
        Kind::Route, "r", &json!({"target": {"model": {"adapter": "tender"}}})
    );
    server_leaves: (
        Kind::BackendServer, "engine-1",
        &json!({"address": "127.0.0.1:8000", "zone": "a", "kind": "engine", "pool": "chat",
                "base_model": "base", "slots": 4, "leaving": true})
    );
    objective_on_a_bound: (
        Kind::Objective, "o",
        &json!({"indicator": {"first_token": {"limit_ms": 1700}}, "target": 0.95,
                "organisation": "clinics", "route": "notes"})
    );
    sunset_on_leap_day: (
        Kind::Site, "site", &json!({"base_model": "base", "sunset_date": "2028-02-29"})
    );
}

fn deletion_refused(kind: Kind, name: &str, field_values: &[&str]) {
    let errors = validate_deletion(kind, name, &table()).expect_err("the deletion is refused");
    let values: Vec<_> = errors.iter().map(|error| error.value.as_str()).collect();
    assert_eq!(values, field_values);
}

cases! {
    deletion_refused;
    organisation_with_key: (Kind::Organisation, "clinics", &["\"used by key/live\""]);
    adapter_with_route: (Kind::Adapter, "tender", &["\"used by route/notes\""]);
    any_key: (Kind::Key, "gone", &["\"gone\""]);
}

#[test]
fn unused_resources_may_be_deleted() {
    let table = table();
    assert_eq!(validate_deletion(Kind::Route, "notes", &table), Ok(()));
    assert_eq!(
        validate_deletion(Kind::BackendServer, "engine-1", &table),
        Ok(())
    );
}
