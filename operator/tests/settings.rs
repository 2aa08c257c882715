//! Settings: defaults, and the message of each kind of error.

use mimosabay_core::cases;
use mimosabay_operator::{BudgetPolicy, LogLevel, Settings};

const MINIMAL: &str = "\
[instance]
name = entry-1
zone = zone-a
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:9090

[platform]
address = 127.0.0.1:7000

[peers]
secret = 0123456789abcdef
";

/// Returns valid settings followed by `extra`, which starts on line 12.
fn with(extra: &str) -> String {
    format!("{MINIMAL}{extra}")
}

fn error_is(text: &str, expected: &str) {
    let errors = Settings::parse(text).expect_err("the settings are invalid");
    assert_eq!(errors.to_string(), expected);
}

fn extra_is_rejected(extra: &str, expected: &str) {
    error_is(&with(extra), expected);
}

fn replacement_is_rejected(from: &str, to: &str, expected: &str) {
    assert!(MINIMAL.contains(from));
    error_is(&MINIMAL.replace(from, to), expected);
}

cases! {
    extra_is_rejected;
    number_below_range: (
        "[stop]\nbalancer_lag_ms = -1\n",
        "line 13: [stop] balancer_lag_ms: `-1` is not valid, \
         allowed: a whole number of milliseconds from 0 to 3600000"
    );
    number_above_range: (
        "[limits]\nmax_body_bytes = 2000000000\n",
        "line 13: [limits] max_body_bytes: `2000000000` is not valid, \
         allowed: a whole number of bytes from 1024 to 1073741824"
    );
    number_with_unit: (
        "[limits]\nread_timeout_ms = 10s\n",
        "line 13: [limits] read_timeout_ms: `10s` is not valid, \
         allowed: a whole number of milliseconds from 10 to 3600000"
    );
    unknown_choice: (
        "[policy]\nqueue = lifo\n",
        "line 13: [policy] queue: `lifo` is not valid, allowed: product, fifo"
    );
    unknown_section: (
        "[police]\nqueue = fifo\n",
        "line 12: [police]: is not a section, \
         allowed: instance, limits, log, metrics, peers, platform, policy, stop, timing"
    );
    unknown_key: (
        "[log]\nlevels = info\n",
        "line 13: [log] levels: is not a key, allowed: level"
    );
    key_twice: (
        "[log]\nlevel = info\nlevel = debug\n",
        "line 14: [log] level: is already defined on line 13, allowed: one line for each key"
    );
    section_again: (
        "[platform]\n# comment = 1\n",
        "line 12: [platform]: is already defined on line 7, allowed: one line for each section"
    );
    timeout_shorter_than_two_heartbeats: (
        "[timing]\nheartbeat_ms = 600\n",
        "[timing] peer_timeout_ms: `1000` is too short, \
         allowed: at least twice heartbeat_ms, 1200 milliseconds"
    );
    statsd_without_port: (
        "[metrics]\nstatsd_address = 127.0.0.1\n",
        "line 13: [metrics] statsd_address: `127.0.0.1` is not valid, \
         allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:8080"
    );
    not_ini: (
        "[log\n",
        "line 13: expecting \"[Some(']')]\" but found EOF, allowed: sections `[name]`, lines `key = value`, \
         comment lines with `;` or `#`"
    );
}

cases! {
    replacement_is_rejected;
    missing_key: (
        "name = entry-1\n", "",
        "[instance] name: is missing, \
         allowed: 1 to 128 characters of lower-case letters, digits, `-`, `.` and `_`"
    );
    empty_key: (
        "name = entry-1\n", "name =\n",
        "line 2: [instance] name: is missing, \
         allowed: 1 to 128 characters of lower-case letters, digits, `-`, `.` and `_`"
    );
    host_name_in_address: (
        "127.0.0.1:7000", "localhost:7000",
        "line 8: [platform] address: `localhost:7000` is not valid, \
         allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:8080"
    );
    port_zero: (
        "127.0.0.1:7000", "127.0.0.1:0",
        "line 8: [platform] address: `127.0.0.1:0` is not valid, \
         allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:8080"
    );
    equal_addresses: (
        "127.0.0.1:9090", "127.0.0.1:8080",
        "line 5: [instance] peer_address: `127.0.0.1:8080` is also the caller_address, \
         allowed: another address"
    );
    short_secret_is_not_shown: (
        "0123456789abcdef", "0123456789abcde",
        "line 11: [peers] secret: has 15 characters, allowed: at least 16 characters"
    );
    key_before_sections: (
        "[instance]\n", "zone = zone-a\n[instance]\n",
        "line 1: zone: is outside of a section, allowed: keys below a `[section]` line"
    );
}

#[test]
fn defaults_fill_what_is_absent() {
    let settings = Settings::parse(MINIMAL).expect("the settings are valid");
    assert_eq!(settings.limits.max_body_bytes, 4_194_304);
    assert_eq!(settings.timing.config_stale_ms, 3_000);
    assert_eq!(settings.policy.budget, BudgetPolicy::Lending);
    assert_eq!(settings.log.level, LogLevel::Info);
    assert_eq!(settings.metrics.statsd_address, None);
    assert_eq!(&*settings.metrics.prefix, "mimosabay");
}

#[test]
fn values_replace_defaults() {
    let text = with("[policy]\nbudget = static-share\n[log]\nlevel = trace\n");
    let settings = Settings::parse(&text).expect("the settings are valid");
    assert_eq!(settings.policy.budget, BudgetPolicy::StaticShare);
    assert_eq!(settings.log.level, LogLevel::Trace);
}

#[test]
fn all_errors_are_reported_in_the_order_of_lines() {
    let text = MINIMAL
        .replace("zone-a", "Zone A")
        .replace("name = entry-1\n", "");
    let text = format!("{text}[log]\nlevel = loud\ncolour = red\n");
    let errors = Settings::parse(&text).expect_err("the settings are invalid");
    let lines: Vec<_> = errors.as_slice().iter().map(|error| error.line).collect();
    assert_eq!(lines, [Some(2), Some(12), Some(13), None]);
}

#[test]
fn secret_is_not_printed() {
    let settings = Settings::parse(MINIMAL).expect("the settings are valid");
    assert_eq!(settings.peers.secret.reveal(), "0123456789abcdef");
    assert!(!format!("{settings:?}").contains("0123456789"));
}

#[test]
fn the_operators_page_lists_every_key() {
    let page = include_str!("../../docs/OPERATIONS.md");
    let sections = [
        "instance", "limits", "log", "metrics", "peers", "platform", "policy",
    ];
    let sections = sections.into_iter().chain(["stop", "timing"]);
    let parts: Vec<_> = sections
        .map(|section| format!("[{section}]\nnothing = 1\n"))
        .collect();
    let text = parts.concat();
    let errors = Settings::parse(&text).expect_err("the keys are unknown");
    let unknown = errors
        .as_slice()
        .iter()
        .filter(|error| error.key == "nothing");
    let keys: Vec<_> = unknown
        .flat_map(|error| error.allowed.split(", "))
        .collect();
    assert_eq!(keys.len(), 24, "{keys:?}");
    for key in keys {
        assert!(page.contains(&format!("| `{key}` |")), "{key}");
    }
}
