//! Requests between instances and their outcomes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::{AdapterVersion, Name};

crate::key_record! {
    /// Whether a backend server may have run a request.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Ran {
        /// The request was not sent to a backend server.
        No,
        /// The request was sent to a backend server and its outcome is unknown.
        Unknown,
        /// A backend server ran the request.
        Yes,
    }

    /// Reason why a request was refused or ended without a complete answer.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// The request cannot be parsed or has a wrong field.
        BadRequest,
        /// The body or a header is larger than allowed.
        TooLarge,
        /// The key is missing or unknown.
        UnknownKey,
        /// The key has been withdrawn.
        WithdrawnKey,
        /// The key's organisation may not use this route or adapter.
        Forbidden,
        /// No such adapter or route.
        UnknownModel,
        /// The adapter has no such version.
        UnknownVersion,
        /// The organisation has used up its rate and burst.
        OverRate,
        /// The wait for a backend server would exceed the request's deadline.
        Overloaded,
        /// No backend server can serve the request.
        NoServer,
        /// The instance does not own the backend server.
        NotOwner,
        /// The platform's store, which has to record the request, does not answer.
        StoreUnavailable,
        /// The instance's configuration may be out of date.
        NotReady,
        /// The adapter could not be loaded.
        LoadFailed,
        /// The idempotency key was used before with a different body.
        KeyReused,
        /// A request with this idempotency key is or was running and its outcome is unknown.
        InDoubt,
        /// Several backend servers crashed while the request's work was running on them.
        Quarantined,
        /// The backend server failed while running the request.
        BackendFailed,
        /// An instance on the path of the request failed.
        InstanceFailed,
        /// The deadline passed.
        Timeout,
        /// The caller disconnected.
        Cancelled,
        /// The service has reached its sunset date.
        Sunset,
        /// An internal invariant is violated.
        Internal,
    }

    /// Whether a request may run again.
    #[derive(Copy)]
    pub enum RetrySafety {
        /// Several runs have the same effect as one.
        Idempotent,
        /// At most one run; duplicates are detected by the idempotency key.
        Keyed,
        /// At most one run; duplicates cannot be detected, because there is no idempotency key.
        Once,
    }
}

crate::record! {
    /// Final answer to a request that did not finish.
    pub struct Refusal {
        /// Reason of the refusal.
        pub code: Code,
        /// Whether the request may have run. Invariant: `No` only if the request was not dispatched.
        pub ran: Ran,
        /// Short human-readable text. Invariant: never contains a key.
        pub message: Name,
        /// Time after which the caller may retry, in milliseconds.
        pub retry_after_ms: Option<u64>,
    }

    /// Work of a request at a backend server.
    pub enum Work {
        /// Text generation on an adapter.
        Generate {
            /// Adapter and version, pinned at admission.
            model: AdapterVersion,
            /// Body of the completion request, as JSON text without the `model` field.
            body: String,
            /// Whether the body is a chat completion.
            chat: bool,
            /// Upper bound of the prompt's tokens.
            prompt_tokens: u64,
            /// Upper bound of the generated tokens.
            completion_tokens: u64,
        },
        /// A call to a plain service.
        Plain {
            /// HTTP method.
            method: Name,
            /// Path and query below the route.
            path: String,
            /// Value of the `Content-Type` header, empty if there was none.
            content_type: Name,
            /// Body of the call.
            body: Vec<u8>,
        },
    }

    /// Part of an answer that the caller has already received.
    pub struct Resume {
        /// Number of tokens in the part. Invariant: the run continues after exactly these.
        pub offset: u64,
        /// Text of the part.
        pub text: String,
    }

    /// An admitted request.
    pub struct Request {
        /// Request id, unique over all instances and processes.
        pub id: Name,
        /// Organisation that is charged; empty for a call without a key on an open route.
        pub organisation: Name,
        /// Name of the call's key, by which requests in queues are found when the key is withdrawn.
        pub key: Name,
        /// Pool of backend servers that may run the request.
        pub pool: Name,
        /// Whether the request may run again.
        pub retry_safety: RetrySafety,
        /// Idempotency key as the caller sent it, scoped to the organisation.
        pub idempotency_key: Option<Name>,
        /// Hash of the work, which identifies the same work under another request id.
        pub fingerprint: u64,
        /// Time left until the deadline when the request is sent, in milliseconds.
        pub timeout_ms: u64,
        /// Part of the answer from an interrupted earlier run.
        pub resume: Option<Resume>,
        /// Work to run.
        pub work: Work,
    }

    /// Tokens that a request used.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Number of generated tokens.
        pub completion_tokens: u64,
    }

    /// Event of a run at the owner of the backend server.
    pub enum RunEvent {
        /// The request was sent to the backend server.
        Started {
            /// Handle of the adapter that the server confirmed; empty for plain services.
            handle: Name,
        },
        /// Part of the answer.
        Chunk {
            /// Number of tokens (or bytes of a plain answer) before this chunk.
            offset: u64,
            /// Number of tokens (or bytes) in this chunk.
            count: u64,
            /// Bytes of this chunk.
            data: Vec<u8>,
        },
        /// Head of a plain answer.
        Head {
            /// HTTP status.
            status: u16,
            /// Value of the `Content-Type` header.
            content_type: Name,
        },
        /// The answer is complete.
        Finished {
            /// Number of used tokens.
            usage: Usage,
        },
        /// The request ended without a complete answer.
        Refused {
            /// Reason, and whether the request may have run.
            refusal: Refusal,
        },
    }
}

impl Refusal {
    /// Creates a refusal of a request that was not dispatched.
    pub fn not_run(code: Code, message: impl Into<Name>) -> Self {
        let message = message.into();
        Self {
            code,
            ran: Ran::No,
            message,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request whose outcome is unknown.
    pub fn in_doubt(code: Code, message: impl Into<Name>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl Work {
    /// Returns the maximum cost of the work against the organisation's rate. A plain call costs one
    /// token.
    pub fn cost_tokens(&self) -> u64 {
        match self {
            Work::Generate {
                prompt_tokens,
                completion_tokens,
                ..
            } => prompt_tokens + completion_tokens,
            Work::Plain { .. } => 1,
        }
    }

    /// Returns a hash of the work that is stable across processes and compiler versions.
    pub fn fingerprint(&self) -> u64 {
        let parts: [&[u8]; 4] = match self {
            Work::Generate { model, body, .. } => [
                b"generate",
                model.adapter.as_bytes(),
                model.version.as_bytes(),
                body.as_bytes(),
            ],
            Work::Plain {
                method, path, body, ..
            } => [b"plain", method.as_bytes(), path.as_bytes(), body],
        };
        // Each part's hash seeds the next, so that bytes moved between parts change the fingerprint.
        parts
            .iter()
            .fold(0, |seed, part| xxh3_64_with_seed(part, seed))
    }
}

impl Usage {
    /// Returns the number of tokens that count against the organisation's rate.
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}
