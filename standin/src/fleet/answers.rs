//! Answers of the simulated servers.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::time::sleep;

use super::behaviour::StreamFault;
use super::received::RequestEffect;
use super::server::{FleetServer, RunningRequest, SyncStream};
use crate::reply::{self, Closed, Reply};
use crate::server::Call;

/// Number of events in a complete stream.
pub(super) const EVENTS_PER_STREAM: u64 = 6;
/// Time between two bytes of an event that arrives byte by byte, in milliseconds.
const TRICKLE_INTERVAL_MS: u64 = 400;
/// Number of these bytes.
const TRICKLED_BYTES: u64 = 100;

impl FleetServer {
    pub(super) fn not_executed_response(&self, status: StatusCode, call: Call, id: &str) -> Reply {
        self.record_request(call, id, RequestEffect::NotRun);
        let mut response = reply::json(status, &json!({}))?;
        let headers = response.headers_mut();
        headers.insert("x-not-executed", HeaderValue::from_static("1"));
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert("x-attempt-id", id);
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            self.add_retry_after(headers);
        }
        self.add_statements(headers);
        Ok(response)
    }

    pub(super) fn complete_response(&self, status: StatusCode, id: &str) -> Reply {
        let mut response = reply::json(status, &json!({ "server": self.id }))?;
        self.seal(&mut response, id)?;
        Ok(response)
    }

    pub(super) fn large_response(&self, size_bytes: usize, id: &str) -> Reply {
        let body = vec![b'x'; size_bytes];
        let mut response = reply::complete(StatusCode::OK, "text/plain", body)?;
        self.seal(&mut response, id)?;
        Ok(response)
    }

    /// Streams the events after number `after`.
    pub(super) fn stream_response(&self, id: &str, after: u64, fault: StreamFault) -> Reply {
        let running = RunningRequest::new(self);
        let interval_ms = self.with_state(|state| state.event_interval_ms);
        let version = self.software_version();
        let last_number = match fault {
            StreamFault::TrickleAfter(last) => last + TRICKLED_BYTES,
            _ => EVENTS_PER_STREAM + 1,
        };
        let numbers = stream::iter(after + 1..=last_number);
        let events = numbers.then(move |number| {
            let _is_running = &running;
            let version = version.clone();
            async move {
                sleep(Duration::from_millis(interval_ms)).await;
                match fault {
                    StreamFault::BreakAfter(last) if number > last => return Err(Closed),
                    StreamFault::PauseAfter { last, pause_ms } if number == last + 1 => {
                        sleep(Duration::from_millis(pause_ms)).await;
                    }
                    StreamFault::TrickleAfter(last) if number > last => {
                        sleep(Duration::from_millis(TRICKLE_INTERVAL_MS)).await;
                        return Ok(Bytes::from_static(b":"));
                    }
                    _ => {}
                }
                Ok(event(number, &version))
            }
        });
        let events = events.filter(|event| {
            let is_end = matches!(event, Ok(bytes) if bytes.is_empty());
            std::future::ready(!is_end)
        });
        let mut response = reply::stream("text/event-stream", SyncStream::new(events))?;
        self.seal(&mut response, id)?;
        Ok(response)
    }

    pub(super) fn seal(
        &self,
        response: &mut http::Response<reply::Body>,
        id: &str,
    ) -> Result<(), Closed> {
        let headers = response.headers_mut();
        let id = HeaderValue::from_str(id).map_err(|_| Closed)?;
        headers.insert("x-attempt-id", id);
        // A header cannot hold every identifier as it is.
        let seal = format!("seal-{}", urlencoding::encode(&self.id));
        let seal = HeaderValue::from_str(&seal).map_err(|_| Closed)?;
        headers.insert("x-server-seal", seal);
        self.add_statements(headers);
        Ok(())
    }
}

/// Rejection of another request.
pub(super) fn earlier_rejection(has_id: bool) -> Reply {
    let mut response = reply::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}))?;
    let headers = response.headers_mut();
    headers.insert("x-not-executed", HeaderValue::from_static("1"));
    if has_id {
        headers.insert("x-attempt-id", HeaderValue::from_static("an-earlier-one"));
    }
    Ok(response)
}

/// Formats one event of a server with this software version; returns no bytes after the last event.
pub(super) fn event(number: u64, version: &str) -> Bytes {
    if number > EVENTS_PER_STREAM {
        return Bytes::new();
    }
    format!("id: {number}\ndata: piece {number} of {version}\n\n").into()
}
