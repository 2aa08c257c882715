//! The complete path of a request.

use mimosabay_standin::fleet::{FleetOptions, FleetServer, FleetSite, KEY, ORGANISATION};
use mimosabay_standin::harness::block_on;

#[test]
fn plain_request_is_answered_through_every_instance() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for index in 0..site.instances.len() {
            let id = format!("look-{index}");
            let answer = site.caller(index).get("/look/one?a=b", &id).await.unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(answer.header("x-attempt-id"), id);
            assert!(answer.header("x-server-seal").starts_with("seal-desk-"));
            assert_eq!(site.run_count(&id), 1);
        }
    });
}

#[test]
fn stream_is_answered_through_every_instance() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for index in 0..site.instances.len() {
            let id = format!("draft-{index}");
            let caller = site.caller(index);
            let answer = caller.generate("/draft/one", &id, "a1").await.unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5, 6]);
            assert_eq!(site.run_count(&id), 1);
        }
        let holders = site
            .engines
            .iter()
            .filter(|it| it.adapters().contains("a1"));
        assert_eq!(holders.count(), 1, "one load serves both");
    });
}

#[test]
fn server_sees_the_organisation_and_never_the_key() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let caller = site.caller(0);
        caller
            .post("/book/one", "book-1", "a booking")
            .await
            .unwrap();
        caller.generate("/draft/one", "draft-1", "").await.unwrap();
        let servers = site.engines.iter().chain(&site.plain_servers);
        for request in servers.flat_map(FleetServer::requests) {
            assert_eq!(request.header("x-tenant"), Some(ORGANISATION));
            assert!(
                request
                    .headers
                    .iter()
                    .all(|(_, value)| !value.contains(KEY))
            );
            let deadline_ms: u64 = request.header("x-deadline-ms").unwrap().parse().unwrap();
            assert!(deadline_ms <= 4_000);
        }
    });
}

#[test]
fn body_arrives_unchanged() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let body = "soap, mops and bleach\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n".repeat(50);
        let answer = site.caller(0).post("/book/one", "book-1", &body).await;
        assert_eq!(answer.unwrap().status, 200);
        let mut requests = site.plain_servers.iter().flat_map(FleetServer::requests);
        assert_eq!(requests.next().unwrap().body, body.as_bytes());
        assert_eq!(requests.count(), 0);
    });
}
