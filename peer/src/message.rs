//! Messages between instances, encoded with `bincode`.
//!
//! Instances of other builds read them, so layouts do not change: variants are appended, and the fields of
//! what they hold stay. `docs/design/peer-messages.md` says how something new is sent.

use mimosabay_core::budget::BudgetMessage;
use mimosabay_core::cell::{
    PermitRequest, PermitResponse, PlacementRequest, PlacementResponse, Update,
};
use mimosabay_core::config::ConfigEntry;
use mimosabay_core::membership::Heartbeat;
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::quarantine_log::QuarantineChanges;
use mimosabay_core::replica::{ReplicaChanges, ReplicaKind};
use mimosabay_core::request::{Request, RunEvent};
use mimosabay_core::slow_start::ServerAnswer;
use mimosabay_core::stated_limit::StatedLimit;
use mimosabay_core::stream_log::StreamChanges;
use mimosabay_core::stream_versions::StreamVersion;
use mimosabay_core::work::Work;

mimosabay_core::record! {
    /// A message with its sender.
    pub struct Envelope {
        /// The sending process.
        pub from: InstanceId,
        /// The message.
        pub message: Message,
    }

    /// A message from one instance to another.
    pub enum Message {
        /// Runs a request on a backend server that the receiver owns. Answered by a sequence of
        /// [`Reply::Run`], of which the last one is final.
        Run {
            /// Name of the backend server.
            server: Name,
            /// The request.
            request: Box<Request>,
        },
        /// Heartbeat of the sender. Answered by [`Reply::Heartbeat`].
        Heartbeat(Heartbeat),
        /// Leave notice: the sender is about to stop. Answered by [`Reply::Done`].
        Leave,
        /// Asks the placer to place a request. Answered by [`Reply::Placement`] or
        /// [`Reply::NotPlacer`].
        RequestPlacement(Box<PlacementRequest>),
        /// Asks the placer whether a request may be sent to a plain server that states a limit.
        /// Answered by [`Reply::Permit`], perhaps after a wait, or [`Reply::NotPlacer`].
        RequestPermit(PermitRequest),
        /// Asks the placer for one run of a request under quarantine. Answered by [`Reply::Trial`] or
        /// [`Reply::NotPlacer`].
        RequestTrial(Work),
        /// Reports the state of the sender's requests to the placer. Answered by
        /// [`Reply::Updated`] or [`Reply::NotPlacer`].
        Update(Box<Update>),
        /// Asks when the receiver last had contact with the placer. Answered by
        /// [`Reply::PlacerLastSeen`].
        GetPlacerLastSeen,
        /// Asks for a connection to a server. Answered by [`Reply::Connected`], after which the bytes of
        /// the connection follow in both directions, or by [`Reply::NotConnected`].
        OpenConnection {
            /// Identifier of the server.
            server: Name,
            /// Time of its start in Unix milliseconds.
            boot: u64,
        },
        /// Asks at which software version a stream began. Answered by [`Reply::StreamVersion`].
        GetStreamVersion {
            /// Identifier of the caller's attempt that brought its first event.
            stream: Name,
        },
        /// Asks for the configuration entries above a revision. Answered by [`Reply::Config`].
        PullConfig {
            /// Revision above which entries are returned.
            above_revision: u64,
        },
        /// Lends or grants budgets. Answered by [`Reply::Budget`].
        Budget {
            /// The addressed process. A later process of the same instance ignores the message,
            /// because its times refer to the clock of the earlier process.
            to: InstanceId,
            /// Version of the roster that the sender uses.
            roster_version: u64,
            /// The budget message; `None` if the sender asks only for the receiver's roster version.
            message: Option<BudgetMessage>,
        },
        /// Reports to the placer how servers that have just started answered. Answered by
        /// [`Reply::Done`]. Only peers that know it are sent it.
        RecordServerAnswers(Vec<ServerAnswer>),
    }

    /// Why an instance opens no connection to a server for another one.
    pub enum NotConnected {
        /// The server refuses connections.
        Refused,
        /// The server did not answer.
        Silent,
        /// No server with this start is registered.
        Unknown,
        /// The replying instance has lost its own links to servers, or is stopping.
        Unavailable,
    }

    /// The instances that are in contact with the placer.
    pub struct Members {
        /// Version of the list; it changes with every change of the list.
        pub version: u64,
        /// Addresses for other instances.
        pub addresses: Vec<Name>,
    }

    /// A reply to a [`Message`].
    pub enum Reply {
        /// An event of a run.
        Run(RunEvent),
        /// Heartbeat of the replying process.
        Heartbeat {
            /// The replying process.
            from: InstanceId,
            /// Its heartbeat.
            heartbeat: Heartbeat,
        },
        /// Configuration entries above the requested revision.
        Config(Vec<ConfigEntry>),
        /// Response to [`Message::Budget`].
        Budget {
            /// Version of the roster that the replying process uses.
            roster_version: u64,
            /// The budget message in return, if there is one.
            message: Option<BudgetMessage>,
        },
        /// A placement or a refusal.
        Placement(PlacementResponse),
        /// A permit or a refusal.
        Permit(PermitResponse),
        /// Whether the request may run once.
        Trial {
            /// Whether it may.
            is_permitted: bool,
        },
        /// The replying instance is not the placer.
        NotPlacer,
        /// The update was processed.
        Updated {
            /// Whether the placer recently had contact with the store.
            reaches_store: bool,
            /// Changes since the revisions that the sender knows, for each kind.
            changes: Vec<(ReplicaKind, ReplicaChanges)>,
            /// Limits that servers have stated.
            limits: Vec<StatedLimit>,
            /// Changes of the log of streams, if the sender does not know them.
            streams: Option<StreamChanges>,
            /// The instances, if the sender has a different version of the list.
            members: Option<Members>,
            /// Changes of the quarantine, if the sender has a different version.
            quarantine: Option<QuarantineChanges>,
        },
        /// Time since the replying instance last had contact with the placer.
        PlacerLastSeen {
            /// Elapsed time, in milliseconds.
            age_ms: u64,
        },
        /// The connection to the server is open.
        Connected,
        /// There is no connection to the server.
        NotConnected(NotConnected),
        /// What the replying instance knows of a stream.
        StreamVersion(Option<StreamVersion>),
        /// The message was processed; there is no result.
        Done,
    }
}
