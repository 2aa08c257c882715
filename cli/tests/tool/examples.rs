//! Checks that the example files are valid.

use std::path::PathBuf;

use crate::support::{Site, run};
use mimosabay_core::cases;
use serde_json::Value;

const FILES: [&str; 6] = [
    "site",
    "organisations",
    "servers",
    "adapters",
    "routes",
    "objectives",
];

fn path(site: &str, file: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("../examples").join(site).join(file);
    path.to_str().expect("a path of text").to_owned()
}

fn can_be_applied(name: &str, resources: usize) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let site = Site::start().await;
        let paths = FILES.map(|file| path(name, &format!("{file}.json")));
        let mut args = vec!["apply", "--output", "json"];
        for path in &paths {
            args.extend(["-f", path]);
        }
        let outcome = site.run(&args).await;
        assert_eq!(outcome.code, 0, "{}", outcome.stderr);
        let written: Vec<Value> = serde_json::from_str(&outcome.stdout).expect("JSON");
        assert_eq!(written.len(), resources);
        site.accept_all().await;
        let exceptions = &site.json(&["status"]).await["configuration"]["exceptions"];
        assert_eq!(exceptions, &serde_json::json!([]));
    });
}

fn settings_are_valid(name: &str) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let file = path(name, "instance.ini");
    let outcome = runtime.block_on(run(&["check-settings", &file], ""));
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
}

cases! {
    can_be_applied;
    thies_resources: ("thies", 40);
    cofrestr_resources: ("cofrestr", 41);
}

cases! {
    settings_are_valid;
    thies_settings: ("thies");
    cofrestr_settings: ("cofrestr");
}
