//! Faulty servers that send bytes without end, in the head or in the body of an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use mimosabay_standin::fleet::{
    FleetOptions, FleetServer, FleetSite, MEMORY_MIB, replace_by_raw_server,
};
use mimosabay_standin::harness::block_on;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Number of instances.
const INSTANCES: usize = 2;
/// Time for which requests are sent, in milliseconds. Callers wait as long for an answer.
const LOAD_MS: u64 = 4_000;
/// The same time for streams without an event, in milliseconds. It lets an instance that keeps all of them
/// read more than its memory holds.
const EVENTLESS_LOAD_MS: u64 = 16_000;
/// Pause of a sound caller between two requests, in milliseconds.
const SOUND_PAUSE_MS: u64 = 30;
/// Size of the blocks of which endless answers consist, in bytes.
const BLOCK_BYTES: usize = 100_000;
/// Size after which an endless answer ends nevertheless, in bytes. It is beyond the memory of an instance.
const MAX_SENT_BYTES: usize = 400_000_000;

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    /// The headers.
    Headers,
    /// One header.
    Header,
    /// Heads with an interim status.
    InterimHeads,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers after the last chunk.
    Trailers,
    /// A body without a line break, in chunks.
    ChunkedBody,
    /// The same body with a length.
    BodyWithLength,
    /// The same body, which ends with its connection.
    BodyUntilClose,
    /// Complete events.
    Events,
    /// Comment lines of a stream.
    Comments,
}

/// Whose answers have no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spoiled {
    Engines,
    PlainServers,
}

/// What the callers of the spoiled servers do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Callers {
    /// They read their answers.
    Read,
    /// They read the first event and then nothing.
    StopReading,
}

/// Guards against instances that keep an answer without end until their memory is used up, which ends
/// them together with the requests of other callers.
mod answer_without_end_takes_the_memory {
    use mimosabay_core::cases;

    use super::Callers::{Read, StopReading};
    use super::Endless::{
        BodyUntilClose, BodyWithLength, ChunkExtension, ChunkedBody, Comments, Events, Header,
        Headers, InterimHeads, Trailers,
    };
    use super::Spoiled::{Engines, PlainServers};
    use super::memory_is_bounded;

    cases! {
        memory_is_bounded;
        stream_one: (Engines, ChunkedBody, 1, Read);
        stream_many: (Engines, ChunkedBody, 40, Read);
        stream_with_length: (Engines, BodyWithLength, 24, Read);
        stream_until_close: (Engines, BodyUntilClose, 24, Read);
        events: (Engines, Events, 24, Read);
        events_not_read: (Engines, Events, 60, StopReading);
        comments_not_read: (Engines, Comments, 60, StopReading);
        headers_of_engines: (Engines, Headers, 24, Read);
        interim_heads_of_engines: (Engines, InterimHeads, 8, Read);
        body_one: (PlainServers, ChunkedBody, 1, Read);
        body_many: (PlainServers, ChunkedBody, 80, Read);
        body_with_length: (PlainServers, BodyWithLength, 24, Read);
        body_until_close: (PlainServers, BodyUntilClose, 24, Read);
        headers: (PlainServers, Headers, 24, Read);
        header: (PlainServers, Header, 24, Read);
        interim_heads: (PlainServers, InterimHeads, 8, Read);
        chunk_extension: (PlainServers, ChunkExtension, 24, Read);
        trailers: (PlainServers, Trailers, 24, Read);
    }
}

impl Endless {
    /// Whether a stream of it has no event.
    fn is_eventless_body(self) -> bool {
        matches!(
            self,
            Self::ChunkedBody | Self::BodyWithLength | Self::BodyUntilClose
        )
    }

    /// The beginning of an answer to a request, up to what has no end.
    fn beginning(self, id: &str) -> String {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-1\r\n"
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::InterimHeads => String::new(),
            Self::Headers => head,
            Self::Header => format!("{head}X-Long: "),
            Self::ChunkExtension => format!("{chunked}5;"),
            Self::Trailers => format!("{chunked}9\r\n: sound\n\n\r\n0\r\n"),
            Self::ChunkedBody => chunked,
            Self::BodyWithLength => format!("{head}Content-Length: 9999999999\r\n\r\n"),
            Self::BodyUntilClose | Self::Events | Self::Comments => {
                format!("{head}Connection: close\r\n\r\n")
            }
        }
    }

    /// What is repeated without end.
    fn block(self) -> Vec<u8> {
        let filled = |line: &str| line.repeat(BLOCK_BYTES / line.len()).into_bytes();
        match self {
            Self::Headers | Self::Trailers => filled("X-More: and more\r\n"),
            Self::InterimHeads => filled("HTTP/1.1 102 Processing\r\n\r\n"),
            Self::Events => filled("id: 1\ndata: a piece\n\n"),
            Self::Comments => filled(": a comment\n\n"),
            Self::ChunkedBody => {
                let mut chunk = format!("{BLOCK_BYTES:x}\r\n").into_bytes();
                chunk.extend(vec![b'x'; BLOCK_BYTES]);
                chunk.extend(b"\r\n");
                chunk
            }
            Self::Header | Self::ChunkExtension | Self::BodyWithLength | Self::BodyUntilClose => {
                vec![b'x'; BLOCK_BYTES]
            }
        }
    }
}

/// Answers a request without end.
async fn answer_without_end(
    mut socket: TcpStream,
    id: String,
    endless: Endless,
    begun: Arc<AtomicUsize>,
) {
    begun.fetch_add(1, Ordering::Relaxed);
    let block = endless.block();
    let mut sent = socket.write_all(endless.beginning(&id).as_bytes()).await;
    let mut sent_bytes = 0;
    while sent.is_ok() && sent_bytes < MAX_SENT_BYTES {
        sent = socket.write_all(&block).await;
        sent_bytes += block.len();
    }
}

/// Replaces servers by faulty ones; returns the number of answers that these have begun.
async fn spoil(servers: &[FleetServer], endless: Endless) -> Arc<AtomicUsize> {
    let begun = Arc::new(AtomicUsize::new(0));
    let counter = begun.clone();
    let answer = move |socket, id| answer_without_end(socket, id, endless, counter.clone());
    replace_by_raw_server(servers, answer).await;
    begun
}

/// Sends one request after the other to spoiled servers until `end`.
async fn call_spoiled(
    site: &FleetSite,
    number: usize,
    spoiled: Spoiled,
    callers: Callers,
    end: Instant,
) {
    let left = end.duration_since(Instant::now());
    let deadline_ms = u64::try_from(left.as_millis()).expect("a short time");
    let caller = site.caller(number % INSTANCES).deadline_ms(deadline_ms);
    let mut count = 0;
    while Instant::now() < end {
        let id = format!("spoiled-{number}-{count}");
        match (spoiled, callers) {
            (Spoiled::Engines, Callers::Read) => {
                if let Ok(mut stream) = caller.open_stream("/once/x", &id, "").await {
                    stream.discard_until(end).await;
                }
            }
            (Spoiled::Engines, Callers::StopReading) => {
                let mut stream = caller.open_stream("/once/x", &id, "").await;
                if let Ok(stream) = &mut stream {
                    stream.read_first_event().await;
                }
                tokio::time::sleep_until(end).await;
            }
            // Only what the instances do with the answer matters.
            (Spoiled::PlainServers, _) => drop(caller.get("/look/x", &id).await),
        }
        count += 1;
        sleep(Duration::from_millis(1)).await;
    }
}

/// Sends one request after the other to sound servers until `end`; returns those that were not answered.
async fn call_sound(
    site: &FleetSite,
    number: usize,
    spoiled: Spoiled,
    end: Instant,
) -> Vec<String> {
    let caller = site.caller(number % INSTANCES);
    let mut failed = Vec::new();
    let mut count = 0;
    while Instant::now() < end {
        let id = format!("sound-{number}-{count}");
        let reply = match spoiled {
            Spoiled::Engines => caller.post("/book/x", &id, &id).await,
            Spoiled::PlainServers => caller.generate("/draft/x", &id, "").await,
        };
        match reply {
            Ok(reply) if reply.status == 200 => {}
            Ok(reply) => failed.push(format!("{id}: {}", reply.status)),
            Err(cause) => failed.push(format!("{id}: {cause}")),
        }
        count += 1;
        sleep(Duration::from_millis(SOUND_PAUSE_MS)).await;
    }
    failed
}

fn memory_is_bounded(spoiled: Spoiled, endless: Endless, count: usize, callers: Callers) {
    block_on(async {
        let mut site = FleetSite::start(FleetOptions {
            instances: INSTANCES,
            ..FleetOptions::default()
        })
        .await;
        let servers = match spoiled {
            Spoiled::Engines => &site.engines,
            Spoiled::PlainServers => &site.plain_servers,
        };
        site.configure(2, |it| {
            it["routes"][1]["timeoutMs"] = json!(EVENTLESS_LOAD_MS);
        });
        let begun = spoil(servers, endless).await;
        let is_eventless_stream = spoiled == Spoiled::Engines && endless.is_eventless_body();
        let load_ms = if is_eventless_stream {
            EVENTLESS_LOAD_MS
        } else {
            LOAD_MS
        };
        let end = Instant::now() + Duration::from_millis(load_ms);
        let spoiled_calls =
            (0..count).map(|number| call_spoiled(&site, number, spoiled, callers, end));
        let sound_calls = (0..INSTANCES).map(|number| call_sound(&site, number, spoiled, end));
        let (_, failed) = tokio::join!(join_all(spoiled_calls), join_all(sound_calls));
        let failed: Vec<String> = failed.into_iter().flatten().collect();
        let begun = begun.load(Ordering::Relaxed);
        assert!(begun >= count.min(2 * INSTANCES), "{begun} answers begun");
        for instance in &mut site.instances {
            assert_eq!(instance.process.exit_status(), None, "a process has ended");
            let peak_mib = instance.process.peak_memory_mib();
            let name = &instance.name;
            println!("{name}: peak {peak_mib} MiB, {begun} answers begun");
            assert!(peak_mib < MEMORY_MIB, "{name}: peak {peak_mib} MiB");
        }
        assert!(failed.is_empty(), "sound requests failed: {failed:?}");
    });
}
