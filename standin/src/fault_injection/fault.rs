//! Which faults there are, and at which step of a request or of the system they strike.

mimosabay_core::key_record! {
    /// Something that goes wrong.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Fault {
        /// An instance is killed and replaced.
        KillInstance,
        /// An instance is paused and goes on later, believing what it believed.
        FreezeInstance,
        /// An instance is stopped in order and replaced.
        StopInstance,
        /// An instance cannot reach the store.
        CutStoreLink,
        /// An instance's calls to the store get no answer.
        SilenceStoreLink,
        /// An instance's open connections to the store go silent for good.
        SilenceStoreConnections,
        /// An instance cannot be reached by the others.
        CutPeerLink,
        /// Calls to an instance by the others get no answer.
        SilencePeerLink,
        /// Open connections to an instance go silent for good.
        SilencePeerConnections,
        /// The store refuses all calls.
        StoreDown,
        /// The store answers no call.
        StoreSilent,
        /// The store answers late.
        StoreSlow,
        /// Writes take effect and their answers are lost.
        StoreLosesAnswers,
        /// Watches leave out a change.
        WatchGap,
        /// An instance is killed and the list shows it for long.
        ListLag,
        /// Adapter loads fail.
        LoadFailure,
        /// An engine restarts with empty memory.
        EngineRestart,
        /// An engine restarts and cannot be reached for a while.
        EngineDown,
        /// An engine answers no call.
        EngineSilent,
        /// Open connections to an engine go silent for good.
        SilenceEngineConnections,
        /// An engine generates slowly.
        EngineSlow,
        /// A request crashes the engine that runs it.
        PoisonRequest,
        /// A plain service closes connections before the effect of a call.
        PlainCrash,
        /// A plain service closes connections after the effect of a call.
        PlainLosesAnswers,
        /// Open connections to a plain service go silent for good.
        SilencePlainConnections,
        /// A key is withdrawn from callers that are connected.
        WithdrawnKey,
        /// A backend server is leaving.
        ServerLeaves,
        /// Operators write the same resource at the same time.
        OperatorRace,
    }

    /// When a fault strikes.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Step {
        /// Calls are being authenticated and admitted.
        Admission,
        /// Requests wait for a place in a batch.
        Queueing,
        /// An adapter is being loaded.
        Loading,
        /// A stream is in its middle.
        Streaming,
        /// A booking is at the plain service.
        Booking,
        /// A run has just ended.
        Settlement,
        /// Another instance is being stopped and hands over.
        Handover,
        /// A changed resource waits for acceptance.
        Acceptance,
    }
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 28] = [
        Fault::KillInstance,
        Fault::FreezeInstance,
        Fault::StopInstance,
        Fault::CutStoreLink,
        Fault::SilenceStoreLink,
        Fault::SilenceStoreConnections,
        Fault::CutPeerLink,
        Fault::SilencePeerLink,
        Fault::SilencePeerConnections,
        Fault::StoreDown,
        Fault::StoreSilent,
        Fault::StoreSlow,
        Fault::StoreLosesAnswers,
        Fault::WatchGap,
        Fault::ListLag,
        Fault::LoadFailure,
        Fault::EngineRestart,
        Fault::EngineDown,
        Fault::EngineSilent,
        Fault::SilenceEngineConnections,
        Fault::EngineSlow,
        Fault::PoisonRequest,
        Fault::PlainCrash,
        Fault::PlainLosesAnswers,
        Fault::SilencePlainConnections,
        Fault::WithdrawnKey,
        Fault::ServerLeaves,
        Fault::OperatorRace,
    ];

    fn is_engine_fault(self) -> bool {
        matches!(
            self,
            Fault::LoadFailure
                | Fault::EngineRestart
                | Fault::EngineDown
                | Fault::EngineSilent
                | Fault::SilenceEngineConnections
                | Fault::EngineSlow
                | Fault::PoisonRequest
        )
    }

    fn is_plain_fault(self) -> bool {
        matches!(
            self,
            Fault::PlainCrash | Fault::PlainLosesAnswers | Fault::SilencePlainConnections
        )
    }
}

impl Step {
    /// All steps, in the order in which a request meets them.
    pub const ALL: [Step; 8] = [
        Step::Admission,
        Step::Queueing,
        Step::Loading,
        Step::Streaming,
        Step::Booking,
        Step::Settlement,
        Step::Handover,
        Step::Acceptance,
    ];
}

/// Why a fault cannot strike at a step; `None` if it can.
pub fn excluded(fault: Fault, step: Step) -> Option<&'static str> {
    match step {
        Step::Booking if fault.is_engine_fault() => Some("no engine takes part in a booking"),
        Step::Queueing | Step::Loading | Step::Streaming if fault.is_plain_fault() => {
            Some("a plain service has no queue, adapter or stream")
        }
        Step::Acceptance if fault.is_engine_fault() || fault.is_plain_fault() => {
            Some("no backend server takes part in acceptance")
        }
        _ => None,
    }
}
