//! Turning the events of a run into an HTTP response.

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

/// How the answer is written.
#[derive(Clone)]
pub(crate) struct Form {
    pub(crate) chat: bool,
    pub(crate) model: Name,
    pub(crate) request_id: Name,
}

/// Waits for the whole answer and sends it as one JSON object.
pub(crate) async fn whole(form: Form, mut events: EventStream) -> Result<Response, Refusal> {
    let mut text = Vec::new();
    while let Some(event) = events.next().await {
        match event {
            RunEvent::Chunk { data, .. } => text.extend_from_slice(&data),
            RunEvent::Finished { usage } => {
                let text = String::from_utf8_lossy(&text);
                let response = body::json(&form.whole(&text, usage));
                return Ok(with_request_id(response, &form.request_id));
            }
            RunEvent::Refused { refusal } => return Err(refusal),
            RunEvent::Started { .. } | RunEvent::Head { .. } => {}
        }
    }
    Err(ended_early())
}

/// Sends the answer as server-sent events. The head of the response waits for the first part, so
/// that a refusal before it has its own HTTP status.
pub(crate) async fn streamed(form: Form, mut events: EventStream) -> Result<Response, Refusal> {
    let first = loop {
        match events.next().await {
            Some(RunEvent::Started { .. } | RunEvent::Head { .. }) => {}
            Some(RunEvent::Refused { refusal }) => return Err(refusal),
            Some(event) => break event,
            None => return Err(ended_early()),
        }
    };
    let request_id = form.request_id.clone();
    let events = stream::iter([first]).chain(events);
    let mut response = Response::new(Body::from_stream(server_sent(form, events)));
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", http::HeaderValue::from_static("no-cache"));
    Ok(with_request_id(response, &request_id))
}

/// Sends the answer of a plain service as it is.
pub(crate) async fn plain(request_id: &Name, mut events: EventStream) -> Result<Response, Refusal> {
    let mut status = StatusCode::OK;
    let mut kind: Name = "application/octet-stream".into();
    let mut data = Vec::new();
    while let Some(event) = events.next().await {
        match event {
            RunEvent::Head {
                status: code,
                content_type,
            } => {
                status = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY);
                kind = content_type;
            }
            RunEvent::Chunk { data: part, .. } => data.extend_from_slice(&part),
            RunEvent::Refused { refusal } => return Err(refusal),
            RunEvent::Finished { .. } => {
                let mut response = body::bytes(data, &kind);
                *response.status_mut() = status;
                return Ok(with_request_id(response, request_id));
            }
            RunEvent::Started { .. } => {}
        }
    }
    Err(ended_early())
}

impl Form {
    fn whole(&self, text: &str, usage: Usage) -> Value {
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
        let mut body = self.head(object, &choice);
        body["usage"] = usage_body(usage);
        body
    }

    fn part(&self, text: &str) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.head(self.part_object(), &choice)
    }

    fn last(&self, usage: Usage) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": {}, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "stop" })
        };
        let mut body = self.head(self.part_object(), &choice);
        body["usage"] = usage_body(usage);
        body
    }

    fn part_object(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn head(&self, object: &str, choice: &Value) -> Value {
        json!({
            "id": self.request_id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn server_sent(
    form: Form,
    events: impl Stream<Item = RunEvent> + Send + 'static,
) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> + Send + 'static {
    let ended = stream::iter([None]);
    events
        .map(Some)
        .chain(ended)
        .scan(false, move |done, event| {
            if *done {
                return std::future::ready(None);
            }
            let event = event.unwrap_or_else(|| RunEvent::Refused {
                refusal: ended_early(),
            });
            *done = matches!(event, RunEvent::Finished { .. } | RunEvent::Refused { .. });
            std::future::ready(Some(Ok(Bytes::from(write_event(&form, &event)))))
        })
        .boxed()
}

fn write_event(form: &Form, event: &RunEvent) -> String {
    match event {
        RunEvent::Chunk { data, .. } => {
            format!("data: {}\n\n", form.part(&String::from_utf8_lossy(data)))
        }
        RunEvent::Finished { usage } => {
            format!("data: {}\n\ndata: [DONE]\n\n", form.last(*usage))
        }
        RunEvent::Refused { refusal } => format!("data: {}\n\n", failure::to_json(refusal)),
        RunEvent::Started { .. } | RunEvent::Head { .. } => String::new(),
    }
}

fn usage_body(usage: Usage) -> Value {
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

fn ended_early() -> Refusal {
    Refusal::in_doubt(Code::InstanceFailed, "the answer ended early")
}
