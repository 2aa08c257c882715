//! Messages between instances.

use mimosabay_core::budget::BudgetMessage;
use mimosabay_core::cell::{Ask, Grant, Standings, Update};
use mimosabay_core::config::Accepted;
use mimosabay_core::membership::Heartbeat;
use mimosabay_core::name::{InstanceId, Name};
use mimosabay_core::replica::{News, ReplicaKind};
use mimosabay_core::request::{Request, RunEvent};

mimosabay_core::record! {
    /// A message and who sends it.
    pub struct Envelope {
        /// The sending process.
        pub from: InstanceId,
        /// The message.
        pub message: Message,
    }

    /// What one instance asks of another.
    pub enum Message {
        /// Run a request on a backend server that the receiver owns. Answered by a sequence of
        /// [`Reply::Run`], the last one final.
        Run {
            /// Name of the backend server.
            server: Name,
            /// The request.
            request: Box<Request>,
        },
        /// I am alive. Answered by [`Reply::Heartbeat`].
        Heartbeat(Heartbeat),
        /// I am about to end. Answered by [`Reply::Done`].
        Leave,
        /// A request wants a place. Answered by [`Reply::Placement`], or by [`Reply::NotPlacer`].
        RequestPlacement(Box<Ask>),
        /// What the placer has to know of the requests here. Answered by [`Reply::Updated`], or
        /// by [`Reply::NotPlacer`].
        Update(Box<Update>),
        /// When did you last hear the placer? Answered by [`Reply::PlacerLastSeen`].
        GetPlacerLastSeen,
        /// Send the configuration above a revision. Answered by [`Reply::Config`].
        PullConfig {
            /// The revision.
            above_revision: u64,
        },
        /// Lending and granting of budgets. Answered by [`Reply::Budget`].
        Budget {
            /// The process that is meant. A later process of the same instance ignores it, because
            /// the message refers to the earlier one's clock.
            to: InstanceId,
            /// Version of the roster that the sender acts on.
            roster_version: u64,
            /// What it is told; nothing if only its roster version is asked for.
            message: Option<BudgetMessage>,
        },
    }

    /// The instances that the placer hears.
    pub struct Members {
        /// Changes with the list.
        pub version: u64,
        /// Where other instances reach them.
        pub addresses: Vec<Name>,
    }

    /// Requests that ran on servers that crashed.
    #[derive(Default)]
    pub struct VersionedQuarantine {
        /// Changes with the list, and differs between placers.
        pub version: u64,
        /// The list.
        pub snapshot: Standings,
    }

    /// What an instance answers.
    pub enum Reply {
        /// A step of a run.
        Run(RunEvent),
        /// I am alive, too.
        Heartbeat {
            /// The answering process.
            from: InstanceId,
            /// What it knows.
            heartbeat: Heartbeat,
        },
        /// Entries of the configuration.
        Config(Vec<Accepted>),
        /// Lending and granting of budgets.
        Budget {
            /// Version of the roster that the answering process acts on.
            roster_version: u64,
            /// What it says in return.
            message: Option<BudgetMessage>,
        },
        /// A place, or a refusal.
        Placement(Grant),
        /// Another instance decides on places.
        NotPlacer,
        /// An update was taken.
        Updated {
            /// Whether the placer has heard the store lately.
            reaches_store: bool,
            /// What has changed since the revisions that the sender knows, for each kind.
            changes: Vec<(ReplicaKind, News)>,
            /// The instances, if the sender knows another version of the list.
            members: Option<Members>,
            /// Requests that ran on servers that crashed, if the sender knows another version.
            quarantine: Option<VersionedQuarantine>,
        },
        /// Age of the last sign of the placer.
        PlacerLastSeen {
            /// Time since then, in milliseconds.
            age_ms: u64,
        },
        /// The message was taken; there is nothing to say.
        Done,
    }
}
