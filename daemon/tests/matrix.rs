//! Injects each fault at one step and checks that no guarantee is violated. `mimosabay-faults` runs
//! more pairs of fault and step.

use mimosabay_core::cases;
use mimosabay_standin::fault_injection::{Fault, Scenario, Step, Violation};
use mimosabay_standin::harness::block_on;

cases! {
    violates_no_guarantee;
    kill_instance: (Fault::KillInstance, Step::Streaming, 1);
    freeze_instance: (Fault::FreezeInstance, Step::Queueing, 2);
    stop_instance: (Fault::StopInstance, Step::Streaming, 3);
    cut_store_link: (Fault::CutStoreLink, Step::Acceptance, 4);
    silence_store_link: (Fault::SilenceStoreLink, Step::Admission, 5);
    silence_store_connections: (Fault::SilenceStoreConnections, Step::Acceptance, 6);
    cut_peer_link: (Fault::CutPeerLink, Step::Streaming, 7);
    silence_peer_link: (Fault::SilencePeerLink, Step::Queueing, 8);
    silence_peer_connections: (Fault::SilencePeerConnections, Step::Streaming, 9);
    store_down: (Fault::StoreDown, Step::Booking, 10);
    store_silent: (Fault::StoreSilent, Step::Handover, 11);
    store_slow: (Fault::StoreSlow, Step::Booking, 12);
    store_loses_answers: (Fault::StoreLosesAnswers, Step::Booking, 13);
    watch_gap: (Fault::WatchGap, Step::Acceptance, 14);
    list_lag: (Fault::ListLag, Step::Settlement, 15);
    load_failure: (Fault::LoadFailure, Step::Loading, 16);
    engine_restart: (Fault::EngineRestart, Step::Streaming, 17);
    engine_down: (Fault::EngineDown, Step::Loading, 18);
    engine_silent: (Fault::EngineSilent, Step::Queueing, 19);
    silence_engine_connections: (Fault::SilenceEngineConnections, Step::Streaming, 20);
    engine_slow: (Fault::EngineSlow, Step::Handover, 21);
    poison_request: (Fault::PoisonRequest, Step::Streaming, 22);
    plain_crash: (Fault::PlainCrash, Step::Booking, 23);
    plain_loses_answers: (Fault::PlainLosesAnswers, Step::Booking, 24);
    silence_plain_connections: (Fault::SilencePlainConnections, Step::Booking, 25);
    withdrawn_key: (Fault::WithdrawnKey, Step::Queueing, 26);
    server_leaves: (Fault::ServerLeaves, Step::Queueing, 27);
    operator_race: (Fault::OperatorRace, Step::Acceptance, 28);
}

fn violates_no_guarantee(fault: Fault, step: Step, seed: u64) {
    block_on(async {
        let scenario = Scenario {
            faults: vec![fault],
            step,
            seed,
        };
        let outcome = scenario.run().await;
        assert_eq!(outcome.violations, Vec::<Violation>::new());
        assert!(outcome.complete > 0);
    });
}
