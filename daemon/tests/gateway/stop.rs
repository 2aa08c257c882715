//! The planned stop of an instance.

use std::time::Duration;

use mimosabay_standin::fleet::{
    Behaviour, FleetOptions, FleetReply, FleetServer, FleetSite, HOST, KEY,
};
use mimosabay_standin::harness::{block_on, wait_for};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Size of an answer that does not fit in the buffers of a connection, in bytes.
const LARGE_ANSWER_BYTES: usize = 7_500_000;
/// Number of bytes that a slow caller reads at a time.
const SLOW_READ_BYTES: usize = 32 * 1024;
/// Time between two reads of a slow caller, in milliseconds.
const SLOW_READ_PAUSE_MS: u64 = 50;
/// Receive buffer of a slow caller, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// Grace period in which a slow caller can read a large answer, in seconds.
const LONG_GRACE_S: u64 = 30;
/// Time within which a head must arrive, in milliseconds; longer than an instance takes to close
/// connections.
const LONG_HEADER_TIMEOUT_MS: u64 = 10_000;
/// Time between opening a connection and sending a request on it, in milliseconds.
const REQUEST_DELAY_MS: u64 = 50;
/// Time from the phase in which connections are closed until servers fall silent, in milliseconds.
const LATE_PAUSE_AFTER_MS: u64 = 3_200;
/// Time for which they are silent, in milliseconds.
const LATE_PAUSE_MS: u64 = 1_900;

/// Deadline of a lookup, in milliseconds; it ends before a stopping instance does.
const DEADLINE_MS: u64 = 2_000;

/// Deadline of a booking that may outlast a stopping instance, in milliseconds.
const LONG_DEADLINE_MS: u64 = 10_000;
/// Size of the body of a booking that does not arrive with its head, in bytes.
const BODY_BYTES: usize = 400_000;

fn lookup(id: &str) -> String {
    format!(
        "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    )
}

#[test]
fn stopping_instance_answers_its_open_requests_and_ends() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerAfter(1_200));
        }
        let caller = site.caller(0);
        let call = tokio::spawn(async move { caller.post("/book/x", "one", "body").await });
        wait_for("a running booking", async || {
            (site.run_count("one") > 0).then_some(())
        })
        .await;
        site.instances[0].process.terminate();
        wait_for("an instance that is not ready", async || {
            (!site.is_ready(0).await).then_some(())
        })
        .await;
        let late = site.caller(0).get("/look/x", "late").await.unwrap();
        assert_eq!(late.status, 200, "callers are still sent there");
        assert_eq!(late.header("connection"), "close");
        assert_eq!(call.await.unwrap().unwrap().status, 200);
        assert!(site.instances[0].process.wait_for_exit().await.success());
    });
}

#[test]
fn stream_accepted_before_the_stop_is_complete() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let mut stream = site
            .caller(0)
            .open_stream("/draft/x", "one", "")
            .await
            .unwrap();
        stream.read_first_event().await;
        site.instances[0].process.terminate();
        assert!(stream.read_to_end().await.is_some());
        assert!(site.instances[0].process.wait_for_exit().await.success());
    });
}

#[test]
fn streams_are_refused_once_the_balancer_has_noticed() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerAfter(4_500));
        }
        let slow = site.caller(0).deadline_ms(6_000);
        let call = tokio::spawn(async move { slow.post("/book/x", "slow", "body").await });
        wait_for("a running booking", async || {
            (site.run_count("slow") > 0).then_some(())
        })
        .await;
        site.instances[0].process.terminate();
        wait_for("a refused stream", async || {
            let answer = site
                .caller(0)
                .generate("/draft/x", "probe", "")
                .await
                .ok()?;
            (answer.status == 503).then_some(())
        })
        .await;
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    });
}

#[test]
fn placer_that_stops_hands_over() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let placer = site.wait_placer().await;
        site.instances[placer].process.terminate();
        wait_for("another placer", async || {
            site.placer_index().filter(|now| *now != placer)
        })
        .await;
    });
}

#[test]
fn stopping_placer_continues_until_the_store_is_available() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let placer = site.wait_placer().await;
        let other = 1 - placer;
        site.store.set_down(true);
        site.instances[placer].process.terminate();
        wait_for("a refused resignation", async || {
            site.instances[placer]
                .has_logged("placer_not_resigned")
                .then_some(())
        })
        .await;
        let answer = site.caller(other).generate("/draft/x", "new", "a9").await;
        assert_eq!(
            answer.unwrap().status,
            200,
            "an adapter that only a placer can have loaded"
        );
        site.store.set_down(false);
        wait_for("another placer", async || {
            site.placer_index().filter(|now| *now == other)
        })
        .await;
        assert!(
            site.instances[placer]
                .process
                .wait_for_exit()
                .await
                .success()
        );
    });
}

/// Guards against ending while a caller still reads the answer to its request.
#[test]
fn stopping_instance_lets_a_slow_caller_read_its_answer() {
    block_on(async {
        let options = FleetOptions {
            grace_s: LONG_GRACE_S,
            ..FleetOptions::default()
        };
        let mut site = FleetSite::start(options).await;
        for server in &site.plain_servers {
            server.plan(Behaviour::AnswerBytes(LARGE_ANSWER_BYTES));
        }
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)
            .expect("a receive buffer");
        let address = site.caller(0).address();
        let mut socket = socket.connect(address).await.expect("a connection");
        let request = lookup("one");
        socket
            .write_all(request.as_bytes())
            .await
            .expect("a request");
        let mut buffer = vec![0; SLOW_READ_BYTES];
        let mut received_bytes = socket.read(&mut buffer).await.expect("an answer");
        site.instances[0].process.terminate();
        while received_bytes < LARGE_ANSWER_BYTES {
            sleep(Duration::from_millis(SLOW_READ_PAUSE_MS)).await;
            match socket.read(&mut buffer).await {
                Ok(count) if count > 0 => received_bytes += count,
                _ => break,
            }
        }
        assert!(received_bytes > LARGE_ANSWER_BYTES, "{received_bytes}");
    });
}

/// Starts a booking at the first instance that keeps it from ending, stops the instance, and waits
/// until it closes connections.
async fn stop_until_connections_are_closed(site: &mut FleetSite) -> JoinHandle<FleetReply> {
    for server in &site.plain_servers {
        server.plan(Behaviour::AnswerAfter(4_500));
    }
    let slow = site.caller(0).deadline_ms(6_000);
    let call = tokio::spawn(async move {
        let answer = slow.post("/book/x", "slow", "body").await;
        answer.expect("an answer")
    });
    wait_for("a running booking", async || {
        (site.run_count("slow") > 0).then_some(())
    })
    .await;
    for server in &site.plain_servers {
        server.clear_plan();
    }
    site.instances[0].process.terminate();
    wait_for("the phase in which connections are closed", async || {
        let log = site.instances[0].log();
        let mut phases = log.iter().filter(|it| it["event"] == "stop_phase");
        phases.any(|it| it["phase"] == "Closing").then_some(())
    })
    .await;
    call
}

/// Guards against closing a new connection before its first request is read.
#[test]
fn request_on_a_new_connection_is_answered_while_kept_connections_are_closed() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let call = stop_until_connections_are_closed(&mut site).await;
        let address = site.caller(0).address();
        let mut socket = TcpStream::connect(address).await.expect("a connection");
        sleep(Duration::from_millis(REQUEST_DELAY_MS)).await;
        // A closed connection shows in the answer.
        let _ = socket.write_all(lookup("late").as_bytes()).await;
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
        assert_eq!(call.await.unwrap().status, 200);
    });
}

/// Guards against closing a kept connection of which a head has been read in part.
#[test]
fn head_that_has_begun_is_read_while_kept_connections_are_closed() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        site.configure(2, |it| {
            it["limits"]["headerTimeoutMs"] = json!(LONG_HEADER_TIMEOUT_MS);
        });
        wait_for("the new configuration", async || {
            let log = site.instances[0].log();
            let mut applied = log
                .iter()
                .filter(|it| it["event"] == "configuration_in_force");
            applied.any(|it| it["version"] == 2).then_some(())
        })
        .await;
        let address = site.caller(0).address();
        let mut socket = TcpStream::connect(address).await.expect("a connection");
        let first = lookup("first");
        socket.write_all(first.as_bytes()).await.expect("a request");
        let mut buffer = vec![0; SLOW_READ_BYTES];
        let mut answer_bytes = Vec::new();
        while !answer_bytes.ends_with(b"}") {
            let count = socket.read(&mut buffer).await.expect("an answer");
            assert!(count > 0, "an open connection");
            answer_bytes.extend_from_slice(&buffer[..count]);
        }
        let request = lookup("late");
        let (start, rest) = request.split_at(request.len() / 2);
        socket.write_all(start.as_bytes()).await.expect("a start");
        let call = stop_until_connections_are_closed(&mut site).await;
        sleep(Duration::from_millis(REQUEST_DELAY_MS)).await;
        // A closed connection shows in the answer.
        let _ = socket.write_all(rest.as_bytes()).await;
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        assert_eq!(call.await.unwrap().status, 200);
    });
}

/// Guards against accepting a request late in a stop whose sound server is silent until the end.
#[test]
fn request_accepted_late_in_a_stop_is_not_cut_at_a_silent_server() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let call = stop_until_connections_are_closed(&mut site).await;
        let pause = tokio::spawn(pause_late_in_a_stop(site.plain_servers.clone()));
        let mut bookings = JoinSet::new();
        let is_over = |site: &FleetSite| {
            let log = site.instances[0].log();
            log.iter()
                .any(|it| it["phase"] == "Refusing" || it["event"] == "stopped")
        };
        while !is_over(&site) {
            let caller = site.caller(0);
            let id = format!("late-{}", bookings.len());
            bookings.spawn(async move { caller.post("/book/x", &id, "body").await });
            sleep(Duration::from_millis(REQUEST_DELAY_MS)).await;
        }
        let answers = bookings.join_all().await;
        let statuses = answers.into_iter().map(|answer| answer.map(|it| it.status));
        let cut: Vec<_> = statuses
            .filter(|status| !matches!(status, Ok(200 | 503)))
            .collect();
        assert!(cut.is_empty(), "{} bookings cut: {cut:?}", cut.len());
        pause.await.unwrap();
        assert_eq!(call.await.unwrap().status, 200);
    });
}

/// Pauses servers shortly before a stopping instance refuses all requests.
async fn pause_late_in_a_stop(servers: Vec<FleetServer>) {
    sleep(Duration::from_millis(LATE_PAUSE_AFTER_MS)).await;
    for server in &servers {
        server.set_paused(true);
    }
    sleep(Duration::from_millis(LATE_PAUSE_MS)).await;
    for server in &servers {
        server.set_paused(false);
    }
}

/// Guards against closing a connection while the body of a refused request is on its way, which resets the
/// connection, so that the caller may lose the refusal.
#[test]
fn refusal_is_not_lost_while_the_body_is_on_its_way() {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions::default()).await;
        let call = stop_until_connections_are_closed(&mut site).await;
        let address = site.caller(0).address();
        let mut socket = TcpStream::connect(address).await.expect("a connection");
        let mut request = long_booking_head("late").into_bytes();
        request.resize(request.len() + BODY_BYTES, b'x');
        let written = socket.write_all(&request).await;
        assert!(written.is_ok(), "{written:?}");
        let mut answer = Vec::new();
        let read = socket.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(read.is_ok(), "{read:?} after {answer:?}");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert_eq!(call.await.unwrap().status, 200);
    });
}

/// Returns the head of a booking that may outlast a stopping instance.
fn long_booking_head(id: &str) -> String {
    format!(
        "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {LONG_DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
}
