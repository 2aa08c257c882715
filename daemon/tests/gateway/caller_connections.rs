//! Connections of callers that are idle, slow or silent for a time.

use std::time::Duration;

use mimosabay_standin::fleet::{Behaviour, FleetOptions, FleetSite, HOST, KEY};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Short idle timeout of a configuration, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 2_000;
/// Idle timeout of a later configuration, in milliseconds.
const RAISED_IDLE_TIMEOUT_MS: u64 = 15_000;
/// Idle timeout that no test waits for, in milliseconds.
const LONG_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time for which a caller keeps a connection idle; within four fifths of the raised timeout only.
const LONG_IDLE_MS: u64 = 3_000;
/// Time for which a caller keeps a connection idle; within four fifths of the short timeout.
const SHORT_IDLE_MS: u64 = 1_500;
/// Time between two parts of a head, in milliseconds; half of the configured time limit of a head.
const HEAD_PAUSE_MS: u64 = 1_000;
/// Time for which a caller reads nothing, in milliseconds.
const READ_PAUSE_MS: u64 = 2_200;
/// Size of an answer that does not fit in the buffers of a connection, in bytes.
const LARGE_ANSWER_BYTES: usize = 7_500_000;
/// Receive buffer of a caller, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Publishes a version with an idle timeout, and waits until the first instance applies it.
async fn set_idle_timeout(site: &FleetSite, version: u64, idle_timeout_ms: u64) {
    site.configure(version, |it| {
        it["limits"]["idleTimeoutMs"] = json!(idle_timeout_ms);
    });
    wait_for("the new configuration", async || {
        let log = site.instances[0].log();
        let mut applied = log
            .iter()
            .filter(|it| it["event"] == "configuration_in_force");
        applied.any(|it| it["version"] == version).then_some(())
    })
    .await;
}

fn lookup(id: &str) -> String {
    format!(
        "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Attempt-Id: {id}\r\n\r\n"
    )
}

/// Reads one answer; returns what arrived if the connection ends before.
async fn read_answer(socket: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 1_024];
    while !answer.ends_with(b"}") {
        match socket.read(&mut buffer).await {
            Ok(count) if count > 0 => answer.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until the instance closes a connection on which it sends nothing more.
async fn wait_for_close(socket: TcpStream) {
    let closed = wait_for("a closed connection", async || {
        let mut buffer = [0; 1];
        socket.try_read(&mut buffer).ok()
    });
    assert_eq!(closed.await, 0);
}

async fn open_with_first_lookup(site: &FleetSite) -> TcpStream {
    let mut socket = TcpStream::connect(site.caller(0).address())
        .await
        .expect("a connection");
    socket
        .write_all(lookup("one").as_bytes())
        .await
        .expect("a request");
    let answer = read_answer(&mut socket).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    socket
}

/// Guards against closing kept connections by the idle timeout of an older configuration.
#[test]
fn kept_connection_is_open_for_the_idle_timeout_in_force() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        set_idle_timeout(&site, 2, IDLE_TIMEOUT_MS).await;
        let mut socket = open_with_first_lookup(&site).await;
        set_idle_timeout(&site, 3, RAISED_IDLE_TIMEOUT_MS).await;
        sleep(Duration::from_millis(LONG_IDLE_MS)).await;
        // A closed connection shows in the answer.
        let _ = socket.write_all(lookup("two").as_bytes()).await;
        let answer = read_answer(&mut socket).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    });
}

/// Guards against keeping idle connections for the idle timeout of an older configuration.
#[test]
fn idle_connections_are_closed_after_a_lowered_idle_timeout() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        set_idle_timeout(&site, 2, LONG_IDLE_TIMEOUT_MS).await;
        let used = open_with_first_lookup(&site).await;
        let unused = TcpStream::connect(site.caller(0).address())
            .await
            .expect("a connection");
        set_idle_timeout(&site, 3, IDLE_TIMEOUT_MS).await;
        wait_for_close(used).await;
        wait_for_close(unused).await;
    });
}

/// Guards against counting the idle time before a request as part of the time of its head.
#[test]
fn head_that_arrives_slowly_on_a_kept_connection_is_read() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        set_idle_timeout(&site, 2, IDLE_TIMEOUT_MS).await;
        let mut socket = open_with_first_lookup(&site).await;
        sleep(Duration::from_millis(SHORT_IDLE_MS)).await;
        let request = lookup("two");
        let (start, rest) = request.split_at(request.len() / 2);
        socket.write_all(start.as_bytes()).await.expect("a start");
        sleep(Duration::from_millis(HEAD_PAUSE_MS)).await;
        // A closed connection shows in the answer.
        let _ = socket.write_all(rest.as_bytes()).await;
        let answer = read_answer(&mut socket).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    });
}

/// Guards against waiting for the rest of a head for as long as for a request.
#[test]
fn connections_with_an_unfinished_head_are_closed_before_idle_ones() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        set_idle_timeout(&site, 2, LONG_IDLE_TIMEOUT_MS).await;
        let mut used = open_with_first_lookup(&site).await;
        let mut new = TcpStream::connect(site.caller(0).address())
            .await
            .expect("a connection");
        let request = lookup("two");
        let (start, _) = request.split_at(request.len() / 2);
        used.write_all(start.as_bytes()).await.expect("a start");
        new.write_all(start.as_bytes()).await.expect("a start");
        wait_for_close(used).await;
        wait_for_close(new).await;
    });
}

/// Guards against a connection that the kernel closes while its caller reads nothing.
#[test]
fn answer_is_not_cut_at_a_caller_that_reads_nothing_for_two_seconds() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerBytes(LARGE_ANSWER_BYTES));
        }
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a receive buffer");
        let address = site.caller(0).address();
        let mut socket = socket.connect(address).await.expect("a connection");
        let request = lookup("one");
        socket
            .write_all(request.as_bytes())
            .await
            .expect("a request");
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES as usize];
        let mut received_bytes = socket.read(&mut buffer).await.expect("an answer");
        sleep(Duration::from_millis(READ_PAUSE_MS)).await;
        while received_bytes < LARGE_ANSWER_BYTES {
            match socket.read(&mut buffer).await {
                Ok(count) if count > 0 => received_bytes += count,
                _ => break,
            }
        }
        assert!(received_bytes > LARGE_ANSWER_BYTES, "{received_bytes}");
    });
}

/// Time that a server takes for a booking, in milliseconds.
const BOOKING_MS: u64 = 400;
/// Number of bookings whose callers close their side at once.
const BOOKINGS: usize = 20;

fn booking(id: &str) -> String {
    format!(
        "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Attempt-Id: {id}\r\nContent-Length: 4\r\n\r\nbook"
    )
}

async fn send_request(site: &FleetSite, request: &str) -> TcpStream {
    let address = site.caller(0).address();
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    let sent = socket.write_all(request.as_bytes()).await;
    sent.expect("the instance reads");
    socket
}

async fn wait_running(site: &FleetSite) {
    wait_for("a running request", async || {
        let mut servers = site.plain_servers.iter();
        let is_running = servers.any(|server| server.running_count() > 0);
        is_running.then_some(())
    })
    .await;
}

/// Guards against a booking that runs and whose caller has no answer, because it has closed its side of
/// the connection after it sent the request.
#[test]
fn booking_is_answered_after_its_caller_has_closed_its_side() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerAfter(BOOKING_MS));
        }
        let mut socket = send_request(&site, &booking("one")).await;
        wait_running(&site).await;
        socket.shutdown().await.expect("an open connection");
        let answer = read_answer(&mut socket).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert_eq!(site.run_count("one"), 1);
        wait_for_close(socket).await;
    });
}

#[test]
fn booking_whose_caller_closes_its_side_at_once_is_answered_or_not_run() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for number in 0..BOOKINGS {
            let id = format!("booking-{number}");
            let mut socket = send_request(&site, &booking(&id)).await;
            socket.shutdown().await.expect("an open connection");
            let answer = read_answer(&mut socket).await;
            let is_answered = answer.starts_with("HTTP/1.1 200");
            assert_eq!(site.run_count(&id), usize::from(is_answered), "{answer:?}");
        }
    });
}

/// Guards against servers that go on for a caller that has left: a lookup can be sent again.
#[test]
fn lookup_ends_when_its_caller_closes_its_side() {
    block_on(async {
        let site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::Hang);
        }
        let mut socket = send_request(&site, &lookup("one")).await;
        wait_running(&site).await;
        socket.shutdown().await.expect("an open connection");
        wait_for("a server without work", async || {
            let mut servers = site.plain_servers.iter();
            servers
                .all(|server| server.running_count() == 0)
                .then_some(())
        })
        .await;
        wait_for_close(socket).await;
    });
}
