//! Specifications that another writer has stored under names that a URL cannot hold as they are.

use mimosabay_core::resource::Kind;
use mimosabay_http::{Call, Client, Url};
use mimosabay_operator::StatusRecord;
use mimosabay_operator::store::{self, STATUS_KIND};
use mimosabay_standin::harness::{Site, SiteOptions, block_on, wait_for};
use serde_json::json;

/// Guards against a specification that stops all changes: its name stood unencoded in the URL of its status,
/// which could not be written.
mod specification_under_an_odd_name_stops_changes {
    use mimosabay_core::cases;

    use super::others_are_accepted;

    cases! {
        others_are_accepted;
        plain: ("Wards");
        ampersand: ("a&b");
        plus: ("a+b");
        fragment: ("a#b");
        question_mark: ("a?b");
        slash: ("a/b");
        blank: ("a b");
        percent: ("a%b");
        percent_and_digits: ("a%41");
        no_ascii: ("\u{e9}");
        control_character: ("a\nb");
    }
}

fn others_are_accepted(name: &str) {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let spec = json!({ "rate_tokens_per_s": 1, "burst_tokens": 1 });
        write_as_another(&site, name, &spec).await;
        let applied = site.apply(Kind::Organisation, "wards", spec).await;
        assert_eq!(applied, Ok(()));
        let name = store::qualified_name(Kind::Organisation, name);
        let status: StatusRecord = wait_for("the status of the odd one", async || {
            let statuses = site.platform.list(STATUS_KIND).await.ok()?.objects;
            let found = statuses.iter().find(|it| *it.name == *name)?;
            store::read_record(found, STATUS_KIND).ok()
        })
        .await;
        assert!(!status.accepted, "{status:?}");
    });
}

/// Writes an organisation's specification without the client of the system.
async fn write_as_another(site: &Site, name: &str, spec: &serde_json::Value) {
    let record = json!({ "spec": spec, "changed_by": "another", "changed_at_ms": 0 });
    let base = format!(
        "http://{}/v1/objects/spec-organisation",
        site.platform_address
    );
    let call = Call::put(Url::new(base).segment(name));
    let call = call.header("if-none-match", "*").json(&record);
    let response = Client::new().call(call.expect("a body")).await;
    assert_eq!(response.expect("an answer").status, 200);
}
