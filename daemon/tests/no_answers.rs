//! Servers that send what is no answer: a status that the protocol does not have, or a part of a body
//! whose connection is reset while the upload is still being written.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use mimosabay_standin::fleet::{FleetOptions, FleetReply, FleetSite, replace_by_raw_server};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Number of requests at the faulty servers whose answers are checked.
const CHECKED_REQUESTS: usize = 5;
/// Size of an upload, in bytes. It does not fit into the buffers of a connection that nobody reads.
const UPLOAD_BYTES: usize = 8_000_000;
/// Largest body that the site takes, in bytes.
const MAX_BODY_BYTES: usize = 10_000_000;
/// Time after which the connection is reset, in milliseconds.
const RESET_AFTER_MS: u64 = 40;

/// Kind of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A stream that may be resumed.
    Draft,
    /// A call that runs at most once.
    Booking,
    /// A call that may be retried.
    Lookup,
    /// A call with a long body.
    Upload,
}

/// What a server sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// An answer with this status.
    Status(&'static str),
    /// Status 200 without a length, a part of the body, and a reset before the request was read.
    PartAndReset,
}

/// Guards against bytes of a faulty server that a caller takes for an answer.
mod no_answer_is_passed_on {
    use mimosabay_core::cases;

    use super::{Kind, Sent, no_answer_is_no_success};

    cases! {
        no_answer_is_no_success;
        booking_000: (Kind::Booking, Sent::Status("000"));
        booking_099: (Kind::Booking, Sent::Status("099"));
        booking_600: (Kind::Booking, Sent::Status("600"));
        booking_999: (Kind::Booking, Sent::Status("999"));
        lookup_000: (Kind::Lookup, Sent::Status("000"));
        lookup_600: (Kind::Lookup, Sent::Status("600"));
        draft_000: (Kind::Draft, Sent::Status("000"));
        draft_600: (Kind::Draft, Sent::Status("600"));
        draft_999: (Kind::Draft, Sent::Status("999"));
        upload_that_is_cut: (Kind::Upload, Sent::PartAndReset);
        lookup_that_is_cut: (Kind::Lookup, Sent::PartAndReset);
        draft_that_is_cut: (Kind::Draft, Sent::PartAndReset);
    }
}

impl Sent {
    fn bytes(self, id: &str) -> String {
        let headers = format!("X-Attempt-Id: {id}\r\nX-Server-Seal: seal-1\r\n");
        match self {
            Self::Status(status) => {
                format!("HTTP/1.1 {status} Odd\r\n{headers}Content-Length: 4\r\n\r\nbody")
            }
            Self::PartAndReset => format!("HTTP/1.1 200 OK\r\n{headers}\r\n0123456789"),
        }
    }
}

async fn answer(mut socket: TcpStream, id: String, sent: Sent) {
    if sent == Sent::PartAndReset {
        // Closing such a socket resets its connection.
        socket.set_zero_linger().expect("an open socket");
    }
    // The instance may have closed the connection.
    let _ = socket.write_all(sent.bytes(&id).as_bytes()).await;
    if sent == Sent::PartAndReset {
        sleep(Duration::from_millis(RESET_AFTER_MS)).await;
    } else {
        let _ = socket.shutdown().await;
        // Closing with unread bytes of the request would reset the connection.
        let mut unread = Vec::new();
        let rest = socket.read_to_end(&mut unread);
        let _ = timeout(Duration::from_millis(DEADLINE_MS), rest).await;
    }
}

async fn send(site: &FleetSite, kind: Kind, id: &str) -> Option<FleetReply> {
    let caller = site.caller(0).deadline_ms(DEADLINE_MS);
    // Each request has a path of its own: one that breaks connections again is refused.
    let reply = match kind {
        Kind::Draft => caller.generate(&format!("/draft/{id}"), id, "").await,
        Kind::Booking => caller.post(&format!("/book/{id}"), id, "body").await,
        Kind::Lookup => caller.get(&format!("/look/{id}"), id).await,
        Kind::Upload => {
            let body = "x".repeat(UPLOAD_BYTES);
            caller.post(&format!("/book/{id}"), id, &body).await
        }
    };
    reply.ok()
}

fn no_answer_is_no_success(kind: Kind, sent: Sent) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        site.configure(2, |site| {
            site["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
        });
        let count = Arc::new(AtomicUsize::new(0));
        let received = count.clone();
        let answer = move |socket, id| {
            received.fetch_add(1, Ordering::Relaxed);
            answer(socket, id, sent)
        };
        replace_by_raw_server(&site.engines, answer.clone()).await;
        replace_by_raw_server(&site.plain_servers, answer).await;
        let mut statuses = Vec::new();
        let mut number = 0;
        wait_for("requests that the faulty servers received", async || {
            let before = count.load(Ordering::Relaxed);
            number += 1;
            let reply = send(&site, kind, &format!("sent-{number}")).await;
            if count.load(Ordering::Relaxed) > before {
                statuses.push(reply.map(|reply| reply.status));
            }
            (statuses.len() >= CHECKED_REQUESTS).then_some(())
        })
        .await;
        let are_failures = statuses.iter().all(|it| matches!(it, Some(502..=504)));
        assert!(are_failures, "{kind:?}, {sent:?}: {statuses:?}");
    });
}
