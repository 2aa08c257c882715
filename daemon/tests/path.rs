//! The whole path through real processes: callers, three instances, engines and a plain service.

use mimosabay_standin::harness::{Site, SiteOptions};
use mimosabay_standin::text;

#[tokio::test(flavor = "multi_thread")]
async fn completion_is_whole_from_every_instance() {
    let site = Site::start(SiteOptions::default()).await;
    for index in 0..site.instances.len() {
        let caller = site.caller(index);
        let reply = caller
            .complete("tender@1", "soap and mops", 12)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(
            reply.text(),
            text::answer("store://tender/1", "soap and mops", 12)
        );
    }
}
