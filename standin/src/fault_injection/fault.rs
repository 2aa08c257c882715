//! The faults, and the steps of a request or of the system at which they are injected.

mimosabay_core::key_record! {
    /// A fault to inject. Reports print the variant names.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Fault {
        /// An instance is killed and replaced.
        KillInstance,
        /// An instance is suspended and resumes later with outdated state.
        FreezeInstance,
        /// An instance is stopped gracefully and replaced.
        StopInstance,
        /// An instance cannot reach the store.
        CutStoreLink,
        /// An instance's calls to the store receive no answer.
        SilenceStoreLink,
        /// An instance's open connections to the store are permanently silenced.
        SilenceStoreConnections,
        /// The other instances cannot reach an instance.
        CutPeerLink,
        /// Calls of the other instances to an instance receive no answer.
        SilencePeerLink,
        /// Open connections to an instance are permanently silenced.
        SilencePeerConnections,
        /// The store refuses all calls.
        StoreDown,
        /// The store answers no call.
        StoreSilent,
        /// The store delays its answers.
        StoreSlow,
        /// Writes to the store take effect, but their answers are lost.
        StoreLosesAnswers,
        /// Watches of the store skip a change.
        WatchGap,
        /// An instance is killed, and the platform's list keeps it for a long time.
        ListLag,
        /// Adapter loads fail.
        LoadFailure,
        /// An engine restarts with no adapter loaded.
        EngineRestart,
        /// An engine restarts and is unreachable for some time.
        EngineDown,
        /// An engine answers no call.
        EngineSilent,
        /// Open connections to an engine are permanently silenced.
        SilenceEngineConnections,
        /// An engine generates slowly.
        EngineSlow,
        /// A request crashes each engine that runs it.
        PoisonRequest,
        /// A plain service closes connections before the effect of a call.
        PlainCrash,
        /// A plain service closes connections after the effect of a call.
        PlainLosesAnswers,
        /// Open connections to a plain service are permanently silenced.
        SilencePlainConnections,
        /// A key is withdrawn while callers use it.
        WithdrawnKey,
        /// A backend server is marked as leaving.
        ServerLeaves,
        /// Operators write the same resource concurrently.
        OperatorRace,
    }

    /// The step at which a fault is injected. Reports print the variant names.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Step {
        /// Calls are being authenticated and admitted.
        Admission,
        /// An engine's batch is full and requests wait.
        Queueing,
        /// An adapter is being loaded.
        Loading,
        /// A stream has started and has not ended.
        Streaming,
        /// A plain service is processing a booking.
        Booking,
        /// A run has just ended.
        Settlement,
        /// An instance is stopping and hands over its work.
        Handover,
        /// A changed resource has been written and not yet accepted.
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
    /// All steps, in the order in which a request passes them.
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

/// Returns why a fault does not apply to a step, `None` if it does.
pub fn exclusion_reason(fault: Fault, step: Step) -> Option<&'static str> {
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
