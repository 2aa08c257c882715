//! Parses the bodies of completion requests and formats their responses and events.

use bytes::Bytes;
use mimosabay_core::request::Usage;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::text;

/// Number of tokens generated if the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) handle: String,
    pub(crate) chat: bool,
    pub(crate) prompt: String,
    pub(crate) stream: bool,
    pub(crate) priority: i64,
    /// Number of tokens of the complete answer, including resumed tokens.
    pub(crate) max_tokens: u64,
    pub(crate) resume_text: String,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    resume_text: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

impl CompletionRequest {
    /// Parses the body of a request.
    pub(crate) fn parse(body: &[u8], chat: bool) -> Option<Self> {
        let body: Body = serde_json::from_slice(body).ok()?;
        let prompt = if chat {
            chat_prompt(&body.messages)?
        } else {
            body.prompt?.into_text()
        };
        Some(Self {
            handle: body.model,
            chat,
            prompt,
            stream: body.stream,
            priority: body.priority,
            max_tokens: body
                .max_completion_tokens
                .or(body.max_tokens)
                .unwrap_or(DEFAULT_MAX_TOKENS),
            resume_text: body.resume_text,
        })
    }

    /// Returns the number of tokens that the caller already has.
    pub(crate) fn resumed_tokens(&self) -> u64 {
        text::count_tokens(&self.resume_text)
    }

    /// Returns the token usage of a run that generated `generated_tokens` itself.
    pub(crate) fn usage(&self, generated_tokens: u64) -> Usage {
        Usage {
            prompt_tokens: text::count_tokens(&self.prompt),
            completion_tokens: generated_tokens,
        }
    }

    /// Formats the event for one token.
    pub(crate) fn token_event(&self, id: &str, token: &str) -> Bytes {
        format_event(&self.response_object(id, &self.stream_choice(token, None)))
    }

    /// Formats the final events, which report the usage and end the stream.
    pub(crate) fn end_events(&self, id: &str, usage: Usage) -> Bytes {
        let mut last = self.response_object(id, &self.stream_choice("", Some("length")));
        last["usage"] = json!(usage);
        let mut events = format_event(&last).to_vec();
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// Returns the body of the response to a request without streaming.
    pub(crate) fn complete_response(&self, id: &str, text: &str, usage: Usage) -> Value {
        let choice = if self.chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let mut response = self.response_object(id, &choice);
        response["usage"] = json!(usage);
        response
    }

    fn stream_choice(&self, token: &str, finish_reason: Option<&str>) -> Value {
        if self.chat {
            let delta = json!({ "content": token });
            return json!({ "index": 0, "delta": delta, "finish_reason": finish_reason });
        }
        json!({ "index": 0, "text": token, "finish_reason": finish_reason })
    }

    fn response_object(&self, id: &str, choice: &Value) -> Value {
        let object = match (self.chat, self.stream) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        json!({ "id": id, "object": object, "model": self.handle, "choices": [choice] })
    }
}

impl Prompt {
    fn into_text(self) -> String {
        match self {
            Prompt::One(text) => text,
            Prompt::Many(texts) => texts.join("\n"),
        }
    }
}

fn chat_prompt(messages: &[Message]) -> Option<String> {
    let contents: Vec<&str> = messages.iter().map(|message| &*message.content).collect();
    (!contents.is_empty()).then(|| contents.join("\n"))
}

fn format_event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
