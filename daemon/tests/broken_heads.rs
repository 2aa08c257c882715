//! Servers that stop in the middle of the head of an answer and close the connection.

use mimosabay_standin::fleet::{FleetOptions, FleetReply, FleetSite, replace_by_raw_server};
use mimosabay_standin::harness::{block_on, wait_for};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// Where the head stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// Inside the status line.
    StatusLine,
    /// After the status line.
    AfterStatusLine,
    /// Inside a header.
    Header,
    /// After the headers, before the empty line.
    BeforeEnd,
    /// Inside the empty line.
    InsideEnd,
}

/// Kind of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A stream that may be resumed.
    Draft,
    /// A call that runs at most once.
    Booking,
    /// A call that may be retried.
    Lookup,
}

/// Guards against an answer that looks complete although the server stopped in its head.
mod head_that_stops_in_the_middle_is_no_answer {
    use mimosabay_core::cases;

    use super::{Kind, Stop, broken_head_is_no_success};

    cases! {
        broken_head_is_no_success;
        booking_in_status_line: (Kind::Booking, Stop::StatusLine);
        booking_after_status_line: (Kind::Booking, Stop::AfterStatusLine);
        booking_in_header: (Kind::Booking, Stop::Header);
        booking_before_end: (Kind::Booking, Stop::BeforeEnd);
        booking_inside_end: (Kind::Booking, Stop::InsideEnd);
        lookup_after_status_line: (Kind::Lookup, Stop::AfterStatusLine);
        lookup_in_header: (Kind::Lookup, Stop::Header);
        lookup_before_end: (Kind::Lookup, Stop::BeforeEnd);
        draft_after_status_line: (Kind::Draft, Stop::AfterStatusLine);
        draft_in_header: (Kind::Draft, Stop::Header);
        draft_before_end: (Kind::Draft, Stop::BeforeEnd);
        draft_inside_end: (Kind::Draft, Stop::InsideEnd);
    }
}

impl Stop {
    /// The bytes that a server sends in answer to a request.
    fn bytes(self, id: &str) -> String {
        let status = "HTTP/1.1 200 OK\r\n";
        let headers = format!("X-Attempt-Id: {id}\r\nX-Server-Seal: seal-1\r\n");
        match self {
            Self::StatusLine => "HTTP/1.1 200".to_owned(),
            Self::AfterStatusLine => status.to_owned(),
            Self::Header => format!("{status}{headers}Content-Len"),
            Self::BeforeEnd => format!("{status}{headers}"),
            Self::InsideEnd => format!("{status}{headers}\r"),
        }
    }
}

/// Answers a request with the head of an answer that stops.
async fn stop_in_head(mut socket: TcpStream, id: String, stop: Stop) {
    // The instance may have closed the connection.
    let _ = socket.write_all(stop.bytes(&id).as_bytes()).await;
    let _ = socket.shutdown().await;
}

async fn send(site: &FleetSite, kind: Kind, id: &str) -> Option<FleetReply> {
    let caller = site.caller(0).deadline_ms(DEADLINE_MS);
    let reply = match kind {
        Kind::Draft => caller.generate("/draft/x", id, "").await,
        Kind::Booking => caller.post("/book/x", id, "body").await,
        Kind::Lookup => caller.get("/look/x", id).await,
    };
    reply.ok()
}

fn broken_head_is_no_success(kind: Kind, stop: Stop) {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        let answer = move |socket, id| stop_in_head(socket, id, stop);
        replace_by_raw_server(&site.engines, answer).await;
        replace_by_raw_server(&site.plain_servers, answer).await;
        let mut number = 0;
        wait_for("an answer that no server has completed", async || {
            number += 1;
            let reply = send(&site, kind, &format!("sent-{number}")).await?;
            (reply.status != 200).then_some(())
        })
        .await;
        for later in 0..5 {
            let reply = send(&site, kind, &format!("later-{later}")).await;
            let status = reply.map(|reply| reply.status);
            assert!(
                matches!(status, Some(502..=504)),
                "{kind:?}, {stop:?}: {status:?}"
            );
        }
    });
}
