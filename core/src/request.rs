//! A request on its way through the system, and the ways it can end.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::{AdapterVersion, Name};

crate::key_record! {
    /// Whether a backend server may have run a request.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Ran {
        /// No backend server was sent the request.
        No,
        /// A backend server was sent the request and its outcome is not known.
        Unknown,
        /// A backend server ran the request.
        Yes,
    }

    /// Why a request was refused or given up.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// The request cannot be parsed or has a wrong field.
        BadRequest,
        /// The body or a header is larger than allowed.
        TooLarge,
        /// No key, or a key that is not known.
        UnknownKey,
        /// The key has been withdrawn.
        WithdrawnKey,
        /// The key's organisation may not use this route or adapter.
        Forbidden,
        /// No such adapter or route.
        UnknownModel,
        /// The adapter has no such version.
        UnknownVersion,
        /// The organisation's rate and burst are used up.
        OverRate,
        /// The wait for a backend server would exceed the request's deadline.
        Overloaded,
        /// No backend server can serve the request.
        NoServer,
        /// The instance does not own the backend server.
        NotOwner,
        /// The platform's store, needed to record the request, does not answer.
        StoreUnavailable,
        /// The instance has no fresh configuration.
        NotReady,
        /// The adapter could not be loaded.
        LoadFailed,
        /// The idempotency key was used before with another body.
        KeyReused,
        /// A request with this idempotency key is or was running and its outcome is not known.
        InDoubt,
        /// The request crashed several backend servers.
        Quarantined,
        /// The backend server failed while running the request.
        BackendFailed,
        /// An instance on the path failed.
        InstanceFailed,
        /// The deadline passed.
        Timeout,
        /// The caller left.
        Cancelled,
        /// The service has reached its sunset date.
        Sunset,
        /// A broken invariant inside the system.
        Internal,
    }

    /// How a request may be repeated.
    #[derive(Copy)]
    pub enum RetrySafety {
        /// Any number of runs has the effect of one.
        Idempotent,
        /// At most one run; a repeat is recognised by its idempotency key.
        Keyed,
        /// At most one run, and no key tells a repeat apart.
        Once,
    }
}

crate::record! {
    /// The final answer to a request that did not finish.
    pub struct Refusal {
        /// What went wrong.
        pub code: Code,
        /// Whether the request may have run. Invariant: `No` only if nothing was dispatched.
        pub ran: Ran,
        /// Short text for people; never holds a key.
        pub message: Name,
        /// When a repeat is worth trying, in milliseconds from now.
        pub retry_after_ms: Option<u64>,
    }

    /// What the request asks a backend server to do.
    pub enum Work {
        /// Text generation on an adapter.
        Generate {
            /// The adapter and version, pinned at admission.
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

    /// The part of an answer that the caller already has.
    pub struct Resume {
        /// Number of its tokens. Invariant: the run continues after exactly these.
        pub offset: u64,
        /// Its text.
        pub text: String,
    }

    /// An admitted request.
    pub struct Request {
        /// Unique over all instances and processes.
        pub id: Name,
        /// The organisation it is charged to; empty on a route open to all.
        pub organisation: Name,
        /// Name of the key it came with, so that a withdrawal finds it in queues.
        pub key: Name,
        /// The pool of backend servers that may run it.
        pub pool: Name,
        /// How it may be repeated.
        pub retry_safety: RetrySafety,
        /// Idempotency key as the caller sent it, scoped to the organisation.
        pub idempotency_key: Option<Name>,
        /// Hash of the work, to recognise the same work under another request id.
        pub fingerprint: u64,
        /// Time left until the request is given up, in milliseconds at the moment of sending.
        pub timeout_ms: u64,
        /// What the caller already has, if an earlier run was cut off.
        pub resume: Option<Resume>,
        /// What to do.
        pub work: Work,
    }

    /// Tokens that a request used.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// Tokens generated.
        pub completion_tokens: u64,
    }

    /// What happens to a request at the owner of its backend server.
    pub enum RunEvent {
        /// The request was sent to the backend server.
        Started {
            /// Handle of the adapter that the server confirmed, empty for plain services.
            handle: Name,
        },
        /// A part of the answer.
        Chunk {
            /// Number of tokens (or bytes of a plain answer) before this chunk.
            offset: u64,
            /// Number of tokens (or bytes) in this chunk.
            count: u64,
            /// The part itself.
            data: Vec<u8>,
        },
        /// The head of a plain answer.
        Head {
            /// HTTP status.
            status: u16,
            /// Value of the `Content-Type` header.
            content_type: Name,
        },
        /// The answer is whole.
        Finished {
            /// Tokens used.
            usage: Usage,
        },
        /// The request ended without a whole answer.
        Refused {
            /// Why, and whether it may have run.
            refusal: Refusal,
        },
    }
}

impl Refusal {
    /// A refusal of a request that was not dispatched.
    pub fn not_run(code: Code, message: impl Into<Name>) -> Self {
        let message = message.into();
        Self {
            code,
            ran: Ran::No,
            message,
            retry_after_ms: None,
        }
    }

    /// A refusal of a request whose outcome is not known.
    pub fn in_doubt(code: Code, message: impl Into<Name>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Adds when a repeat is worth trying.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl Work {
    /// What the work may use of the organisation's rate at most. A plain call costs one token.
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

    /// Hash of the work, equal for equal work. Stable over processes and versions of the compiler.
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
        // Each part seeds the hash of the next, so that no two parts can run together.
        parts
            .iter()
            .fold(0, |seed, part| xxh3_64_with_seed(part, seed))
    }
}

impl Usage {
    /// All tokens that count against the organisation's rate.
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}
