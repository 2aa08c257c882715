//! Messages between the instances and the placer of a cell.

use crate::name::Name;
use crate::prompt::Prompt;
use crate::quarantine::Quarantine;
use crate::replica::KnownRevision;
use crate::stated_limit::StatedLimit;
use crate::stream_log::StreamLogPosition;
use crate::stream_placement::StreamPlacement;
use crate::stream_versions::StreamVersion;
use crate::work::{Fingerprint, Work};

crate::key_record! {
    /// Identifies one attempt of a request.
    #[derive(Copy)]
    pub struct Ticket {
        /// Incarnation of the entry instance.
        pub entry: u64,
        /// Number of the attempt at that instance; each attempt has its own.
        pub number: u64,
    }
}

crate::record! {
    /// Asks the placer to assign a request to an engine.
    pub struct PlacementRequest {
        /// Identifies the attempt.
        pub ticket: Ticket,
        /// Identifier given by the caller, for logs.
        pub request_id: Name,
        /// Service of the route.
        pub service: Name,
        /// Availability zone of the entry instance.
        pub zone: Name,
        /// Model, adapter and size.
        pub prompt: Prompt,
        /// Organisation of the caller and the cost of the request; `None` if it has been charged
        /// already, or if nobody is charged.
        pub charge: Option<Charge>,
        /// Rank; a smaller one is more urgent.
        pub urgency: u8,
        /// Time left until the answer is of no use to the caller, in milliseconds.
        pub left_ms: u64,
        /// Time left until the first event misses its target, in milliseconds.
        pub target_ms: u64,
        /// Servers that must not be chosen again.
        pub excluded: Vec<Name>,
        /// Hash of path, organisation and body, which identifies requests that crash servers.
        pub request_hash: u64,
        /// Whether the request is under quarantine and is run once nevertheless, to find out whether
        /// it crashes servers.
        pub is_trial: bool,
        /// Outcome of the previous attempt, if there was one.
        pub previous: Option<EndedRun>,
        /// The stream that it begins or goes on with.
        pub stream: StreamPlacement,
    }

    /// What a request costs an organisation.
    pub struct Charge {
        /// Name of the organisation.
        pub organisation: Name,
        /// Cost in the unit of the organisation's rate.
        pub cost: u64,
    }

    /// Answer to a [`PlacementRequest`].
    pub enum PlacementResponse {
        /// The request is assigned to a server and is to be sent now.
        Granted {
            /// Identifier of the server.
            server: Name,
            /// Software version of the server, if known.
            software_version: Option<Name>,
            /// Version of the adapter that the server must hold, if known.
            version: Option<u64>,
            /// Forecast time to the first event, in milliseconds.
            first_event_ms: u64,
        },
        /// The request is refused.
        Refused(Refusal),
    }

    /// Asks the placer whether a request may be sent to a plain server that states a limit.
    pub struct PermitRequest {
        /// Identifies the request for the permit.
        pub ticket: Ticket,
        /// Servers that could run the request, the preferred one first, with the times of their
        /// starts in Unix milliseconds.
        pub candidates: Vec<(Name, u64)>,
        /// Rank; a smaller one is more urgent.
        pub urgency: u8,
        /// Longest time to wait for the permit, in milliseconds.
        pub max_wait_ms: u64,
    }

    /// Answer to a [`PermitRequest`].
    pub enum PermitResponse {
        /// The request may be sent to this server now.
        Granted {
            /// Identifier of the server.
            server: Name,
        },
        /// The servers receive as many requests as they allow.
        Refused {
            /// Time after which the caller may retry, in milliseconds.
            retry_after_ms: u64,
        },
    }

    /// Why a request is not assigned to an engine, and when to retry.
    pub struct Refusal {
        /// The reason.
        pub reason: RefusalReason,
        /// Time after which the caller may retry, in milliseconds.
        pub retry_after_ms: u64,
    }

    /// A running request that a new placer takes over.
    pub struct AdoptedRun {
        /// Identifies the attempt.
        pub ticket: Ticket,
        /// Identifier of the server where it runs.
        pub server: Name,
        /// Model, adapter and size.
        pub prompt: Prompt,
        /// Hash of path, organisation and body, which identifies requests that crash servers.
        pub request_hash: u64,
    }

    /// Periodic update from an instance to the placer.
    pub struct Update {
        /// Incarnation of the instance.
        pub entry: u64,
        /// Requests that have left their server.
        pub ended: Vec<EndedRun>,
        /// Costs of plain requests since the previous update.
        pub charges: Vec<Charge>,
        /// The instance's own evidence of crashes: what has changed since the previous update, or
        /// all of it if the placer is new.
        pub evidence: Quarantine,
        /// Version of the quarantine that the instance has.
        pub quarantine_version: u64,
        /// All requests in progress, sent once to each new placer.
        pub runs: Option<Vec<AdoptedRun>>,
        /// What the instance knows of streams: what has changed since the previous update, or all of it if
        /// the placer is new.
        pub streams: Vec<StreamVersion>,
        /// Position up to which the instance knows the placer's log of streams.
        pub stream_position: StreamLogPosition,
        /// Limits that servers have stated: what has changed since the previous update, or all of
        /// them if the placer is new.
        pub limits: Vec<StatedLimit>,
        /// Revisions of the instance's copies of the store.
        pub known: Vec<KnownRevision>,
        /// Address at which other instances reach this one.
        pub address: Name,
        /// Version of the member list that the instance has.
        pub members_version: u64,
    }

    /// A request that has left its server.
    pub struct EndedRun {
        /// Identifies the attempt.
        pub ticket: Ticket,
        /// How it ended.
        pub outcome: RunOutcome,
        /// Time from sending to the first event, in milliseconds.
        pub first_event_ms: Option<u64>,
        /// Time from the first to the last data of the server, in milliseconds.
        pub streamed_ms: u64,
    }
}

crate::key_record! {
    /// Why a request is not assigned to an engine.
    #[derive(Copy)]
    pub enum RefusalReason {
        /// The organisation has used up its rate.
        OverRate,
        /// No server can answer in time.
        Overloaded,
        /// No server that could run it is available.
        NoServer,
        /// It takes up a stream, and it is not known which of several software versions began it.
        UnknownVersion,
        /// Work with this fingerprint has crashed several servers.
        Quarantined(Fingerprint),
    }

    /// How the run of a request at a server ended.
    #[derive(Copy)]
    pub enum RunOutcome {
        /// The request was answered.
        Answered,
        /// The server answered with an error.
        Failed,
        /// The server does not hold the model, the adapter or the version.
        NotHeld,
        /// The server rejected it.
        Rejected,
        /// No connection to the server could be opened.
        Unreachable,
        /// The connection broke.
        Broken,
        /// The caller disconnected, or the request was abandoned.
        Cancelled,
    }
}

impl PlacementRequest {
    /// Returns the work, by which requests that crash servers are identified.
    pub fn work(&self) -> Work {
        Work::new(self.request_hash, Some(&self.prompt))
    }
}

impl RefusalReason {
    /// Returns the name of the reason, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::OverRate => "OverRate",
            Self::Overloaded => "Overloaded",
            Self::NoServer => "NoServer",
            Self::UnknownVersion => "UnknownVersion",
            Self::Quarantined(_) => "Quarantined",
        }
    }

    /// Returns the fingerprint of the work that has crashed servers, if that is the reason.
    pub fn quarantined(self) -> Option<Fingerprint> {
        match self {
            Self::Quarantined(fingerprint) => Some(fingerprint),
            Self::OverRate | Self::Overloaded | Self::NoServer | Self::UnknownVersion => None,
        }
    }
}
