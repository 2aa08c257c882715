//! Requests that are refused before they reach a server.

use mimosabay_core::cases;
use mimosabay_standin::fleet::{FleetOptions, FleetSite, HOST, KEY};
use mimosabay_standin::harness::block_on;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes and reads until the instance closes the connection.
async fn exchange(site: &FleetSite, bytes: &str) -> String {
    let address = site.caller(0).address();
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A reset after the answer counts as the end of the connection.
    let _ = socket.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(lines: &str) -> String {
    format!("POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{lines}\r\n")
}

fn refuses(lines: &'static str, body: &'static str, status: &'static str) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let answer = exchange(&site, &format!("{}{body}", head(lines))).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        let received: usize = site
            .plain_servers
            .iter()
            .map(|it| it.requests().len())
            .sum();
        assert_eq!(received, 0);
    });
}

cases! {
    refuses;
    two_lengths: (
        "X-Attempt-Id: one\r\nContent-Length: 3\r\nContent-Length: 5\r\nConnection: close\r\n",
        "abcde",
        "400",
    );
    no_identifier: ("Content-Length: 0\r\nConnection: close\r\n", "", "400");
    body_too_large: (
        "X-Attempt-Id: one\r\nContent-Length: 900000\r\nConnection: close\r\n",
        "",
        "413",
    );
}

#[test]
fn request_hidden_behind_a_chunked_body_is_not_run() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let lines = "X-Attempt-Id: one\r\nTransfer-Encoding: chunked\r\nContent-Length: 90\r\n";
        let hidden = head("X-Attempt-Id: hidden\r\nContent-Length: 0\r\n");
        exchange(&site, &format!("{}0\r\n\r\n{hidden}", head(lines))).await;
        assert_eq!(site.run_count("hidden"), 0);
    });
}

#[test]
fn unknown_path_and_unknown_key_have_different_statuses() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let unknown_path = site.caller(0).get("/nowhere/x", "one").await.unwrap();
        assert_eq!(unknown_path.status, 404);
        let unknown_caller = site.caller(0).key("a-key-of-nobody");
        assert_eq!(
            unknown_caller.get("/look/x", "two").await.unwrap().status,
            401
        );
        assert_eq!(site.run_count("one") + site.run_count("two"), 0);
    });
}

#[test]
fn prompt_that_cannot_be_read_is_refused() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let answer = site.caller(0).post("/draft/x", "one", "no model").await;
        assert_eq!(answer.unwrap().status, 400);
        assert_eq!(site.run_count("one"), 0);
    });
}

#[test]
fn callers_cannot_set_reserved_headers() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let lines = "X-Attempt-Id: one\r\nContent-Length: 0\r\nX-Tenant: markets\r\n\
                     X-Hold: h1\r\nX-Urgency: 0\r\nKv-From: 10.0.0.1:1/2\r\n\
                     Connection: close, x-attempt-id\r\n";
        let answer = exchange(&site, &head(lines)).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let request = site
            .plain_servers
            .iter()
            .find_map(|it| it.requests().pop())
            .unwrap();
        assert_eq!(request.header("x-tenant"), Some("clinics"));
        for name in ["x-hold", "x-urgency", "kv-from", "connection"] {
            assert_eq!(request.header(name), None, "{name}");
        }
    });
}
