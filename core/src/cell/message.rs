//! What instances ask the placer of a cell, and what it answers.

use crate::name::Name;
use crate::prompt::Prompt;
use crate::quarantine::{Crash, Fingerprint};
use crate::replica::KnownRevision;

crate::key_record! {
    /// A request at the instance that took it.
    #[derive(Copy)]
    pub struct Ticket {
        /// Incarnation of the instance.
        pub entry: u64,
        /// Number of the request there; another attempt has another number.
        pub number: u64,
    }
}

crate::record! {
    /// A request for a place at an engine.
    pub struct PlacementRequest {
        /// Which request.
        pub ticket: Ticket,
        /// Identifier that the caller gave it, for logs.
        pub request_id: Name,
        /// Service of the route.
        pub service: Name,
        /// Availability zone of the instance that asks.
        pub zone: Name,
        /// Model, adapter and size.
        pub prompt: Prompt,
        /// Organisation of the caller and what the request costs it; `None` if it was charged
        /// before, or if nobody is charged.
        pub charge: Option<Charge>,
        /// Rank; a smaller one is more urgent.
        pub urgency: u8,
        /// Time left until the answer is of no use, in milliseconds.
        pub left_ms: u64,
        /// Time left until the first event is late, in milliseconds.
        pub target_ms: u64,
        /// Servers that are not to be chosen again.
        pub excluded: Vec<Name>,
        /// Hash of the work, by which a request that crashes servers is known.
        pub fingerprint: Fingerprint,
        /// How the attempt before this one ended, if there was one.
        pub previous: Option<EndedRun>,
    }

    /// What a request costs an organisation.
    pub struct Charge {
        /// Name of the organisation.
        pub organisation: Name,
        /// Cost in the unit of its rate.
        pub cost: u64,
    }

    /// Answer to an [`PlacementRequest`].
    pub enum PlacementResponse {
        /// Send the request now.
        Granted {
            /// Identifier of the server.
            server: Name,
            /// Version of the adapter that the server must hold, if it is known.
            version: Option<u64>,
            /// Forecast time to the first event, in milliseconds.
            first_event_ms: u64,
        },
        /// Refuse the request.
        Refused(Refusal),
    }

    /// Why a request gets no place.
    pub struct Refusal {
        /// The reason.
        pub reason: RefusalReason,
        /// When to come back, in milliseconds.
        pub retry_after_ms: u64,
    }

    /// A request that runs while the placer changes.
    pub struct AdoptedRun {
        /// Which request.
        pub ticket: Ticket,
        /// Identifier of the server where it runs.
        pub server: Name,
        /// What it runs.
        pub prompt: Prompt,
    }

    /// What an instance tells the placer at short intervals.
    pub struct Update {
        /// Incarnation of the instance.
        pub entry: u64,
        /// Requests that have left their server.
        pub ended: Vec<EndedRun>,
        /// What plain requests have cost since the update before.
        pub charges: Vec<Charge>,
        /// Servers that ended after a plain request broke there.
        pub crashes: Vec<ObservedCrash>,
        /// Suspected requests that were answered after all.
        pub cleared: Vec<Fingerprint>,
        /// Version of the standings that it knows.
        pub quarantine_version: u64,
        /// All requests under way, told once to each new placer.
        pub runs: Option<Vec<AdoptedRun>>,
        /// The instance's copies of the store.
        pub known: Vec<KnownRevision>,
        /// Where other instances reach this one.
        pub address: Name,
        /// Version of the list of instances that it knows.
        pub members_version: u64,
    }

    /// A server that ended after a request broke there.
    pub struct ObservedCrash {
        /// Hash of the request's work.
        pub fingerprint: Fingerprint,
        /// The crash.
        pub crash: Crash,
    }

    /// Requests that ran on servers that crashed.
    #[derive(Default)]
    pub struct QuarantineSnapshot {
        /// Those that may have been the cause.
        pub suspected: Vec<Fingerprint>,
        /// Those that are refused.
        pub refused: Vec<Fingerprint>,
    }

    /// A request that has left its server.
    pub struct EndedRun {
        /// Which request.
        pub ticket: Ticket,
        /// How it ended.
        pub outcome: RunOutcome,
        /// Time from sending to the first event, in milliseconds.
        pub first_event_ms: Option<u64>,
    }
}

crate::key_record! {
    /// Why a request gets no place.
    #[derive(Copy)]
    pub enum RefusalReason {
        /// The organisation has used up its rate.
        OverRate,
        /// No server can answer in time.
        Overloaded,
        /// No server is there that could run it.
        NoServer,
        /// It crashed several servers.
        Quarantined,
    }

    /// How a request left its server.
    #[derive(Copy)]
    pub enum RunOutcome {
        /// It was answered.
        Answered,
        /// The server does not hold the model, the adapter or the version.
        NotHeld,
        /// The server did not take it.
        Rejected,
        /// No connection to the server could be opened.
        Unreachable,
        /// The connection broke.
        Broken,
        /// The caller left, or the request was given up.
        Cancelled,
    }
}
