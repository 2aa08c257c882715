//! Builds HTTP responses from the events of a run.

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::StatusCode;
use mimosabay_core::name::Name;
use mimosabay_core::request::{Code, Refusal, RunEvent, Usage};
use serde_json::{Value, json};
use viz::{Body, Response};

use crate::body;
use crate::failure;
use crate::gateway::EventStream;

const REQUEST_ID_HEADER: &str = "x-request-id";

/// Fields that determine the JSON format of an answer.
#[derive(Clone)]
pub(crate) struct AnswerFormat {
    pub(crate) chat: bool,
    pub(crate) model: Name,
    pub(crate) request_id: Name,
}

/// Waits for the complete answer and returns it as one JSON object.
pub(crate) async fn buffered(
    format: AnswerFormat,
    mut events: EventStream,
) -> Result<Response, Refusal> {
    let mut text = Vec::new();
    while let Some(event) = events.next().await {
        match event {
            RunEvent::Chunk { data, .. } => text.extend_from_slice(&data),
            RunEvent::Finished { usage } => {
                let text = String::from_utf8_lossy(&text);
                let response = body::json(&format.complete_body(&text, usage));
                return Ok(with_request_id(response, &format.request_id));
            }
            RunEvent::Refused { refusal } => return Err(refusal),
            RunEvent::Started { .. } | RunEvent::Head { .. } => {}
        }
    }
    Err(incomplete_answer())
}

/// Returns the answer as a stream of server-sent events.
///
/// Waits for the first part before it returns the response headers, so that an earlier refusal is
/// sent with its own HTTP status.
pub(crate) async fn streamed(
    format: AnswerFormat,
    mut events: EventStream,
) -> Result<Response, Refusal> {
    let first = loop {
        match events.next().await {
            Some(RunEvent::Started { .. } | RunEvent::Head { .. }) => {}
            Some(RunEvent::Refused { refusal }) => return Err(refusal),
            Some(event) => break event,
            None => return Err(incomplete_answer()),
        }
    };
    let request_id = format.request_id.clone();
    let events = stream::iter([first]).chain(events);
    let mut response = Response::new(Body::from_stream(encode_events(format, events)));
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", http::HeaderValue::from_static("no-cache"));
    Ok(with_request_id(response, &request_id))
}

/// Waits for the complete answer of a plain service and returns it unchanged.
pub(crate) async fn plain(request_id: &Name, mut events: EventStream) -> Result<Response, Refusal> {
    let mut status = StatusCode::OK;
    let mut answer_type: Name = "application/octet-stream".into();
    let mut data = Vec::new();
    while let Some(event) = events.next().await {
        match event {
            RunEvent::Head {
                status: code,
                content_type,
            } => {
                status = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY);
                answer_type = content_type;
            }
            RunEvent::Chunk { data: chunk, .. } => data.extend_from_slice(&chunk),
            RunEvent::Refused { refusal } => return Err(refusal),
            RunEvent::Finished { .. } => {
                let mut response = body::bytes(data, &answer_type);
                *response.status_mut() = status;
                return Ok(with_request_id(response, request_id));
            }
            RunEvent::Started { .. } => {}
        }
    }
    Err(incomplete_answer())
}

impl AnswerFormat {
    fn complete_body(&self, text: &str, usage: Usage) -> Value {
        let choice = if self.chat {
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "stop" })
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let mut body = self.envelope(object, &choice);
        body["usage"] = usage_json(usage);
        body
    }

    fn chunk_body(&self, text: &str) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.envelope(self.chunk_object(), &choice)
    }

    fn last_chunk_body(&self, usage: Usage) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": {}, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "stop" })
        };
        let mut body = self.envelope(self.chunk_object(), &choice);
        body["usage"] = usage_json(usage);
        body
    }

    fn chunk_object(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn envelope(&self, object: &str, choice: &Value) -> Value {
        json!({
            "id": self.request_id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn encode_events(
    format: AnswerFormat,
    events: impl Stream<Item = RunEvent> + Send + 'static,
) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> + Send + 'static {
    let end = stream::iter([None]);
    events
        .map(Some)
        .chain(end)
        .scan(false, move |done, event| {
            if *done {
                return std::future::ready(None);
            }
            let event = event.unwrap_or_else(|| RunEvent::Refused {
                refusal: incomplete_answer(),
            });
            *done = matches!(event, RunEvent::Finished { .. } | RunEvent::Refused { .. });
            std::future::ready(Some(Ok(Bytes::from(encode_event(&format, &event)))))
        })
        .boxed()
}

fn encode_event(format: &AnswerFormat, event: &RunEvent) -> String {
    match event {
        RunEvent::Chunk { data, .. } => {
            format!(
                "data: {}\n\n",
                format.chunk_body(&String::from_utf8_lossy(data))
            )
        }
        RunEvent::Finished { usage } => {
            format!(
                "data: {}\n\ndata: [DONE]\n\n",
                format.last_chunk_body(*usage)
            )
        }
        RunEvent::Refused { refusal } => format!("data: {}\n\n", failure::to_json(refusal)),
        RunEvent::Started { .. } | RunEvent::Head { .. } => String::new(),
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.total_tokens(),
    })
}

fn with_request_id(mut response: Response, request_id: &Name) -> Response {
    if let Ok(value) = http::HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn incomplete_answer() -> Refusal {
    Refusal::in_doubt(Code::InstanceFailed, "answer ended before it was complete")
}
