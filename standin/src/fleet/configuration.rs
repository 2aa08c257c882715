//! Builds the configuration of a test site.

use serde_json::{Value, json};

use super::site::{DESK, ENGINES, FleetOptions, HOST, KEY, MODEL, ORGANISATION};

/// Time for which an engine is cold after its start, in seconds.
const COLD_START_S: f64 = 3.0;

/// Returns a version of the configuration in the platform's format.
pub(super) fn configuration_json(version: u64, options: &FleetOptions) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeKind": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "public": false,
            "resumable": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("draft", "/draft/", "streaming", ENGINES, true),
            route("draft-once", "/once/", "streaming", ENGINES, false),
            route("book", "/book/", "non_idempotent", DESK, false),
            route("look", "/look/", "idempotent", DESK, false),
        ],
        "services": [
            {
                "name": ENGINES,
                "healthPath": "/healthz",
                "maxConns": 100,
                "coldStartS": COLD_START_S,
                "coldPerS": options.cold_per_s,
                "engine": {
                    "slots": 8,
                    "kvCapacity": 100_000,
                    "models": [{ "name": MODEL, "loadS": 0.5 }],
                    "adapterSlots": options.adapter_slots,
                    "loadsPerS": 4.0,
                },
            },
            { "name": DESK, "healthPath": "/healthz", "maxConns": 100 },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{
            "name": ORGANISATION,
            "apiKeys": [KEY],
            "unit": "token_based",
            "plainTokens": 100,
            "ratePerS": options.rate_per_s,
            "burst": options.burst,
        }],
    })
}
