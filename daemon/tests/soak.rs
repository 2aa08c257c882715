//! Short soaks of real instances, and a regression seed.

use mimosabay_core::cases;
use mimosabay_standin::harness::block_on;
use mimosabay_standin::soak::{self, SoakOptions};

/// Time during which faults are injected in a short soak, in milliseconds.
const SHORT_MS: u64 = 6_000;
/// Number of callers whose streams fill less than half of the engines.
const FEW_CALLERS: usize = 12;
/// Number of callers whose streams fill most of the engines.
const MANY_CALLERS: usize = 30;

cases! {
    random_faults_violate_no_guarantee;
    seed_1: (1, false, SHORT_MS, FEW_CALLERS);
    seed_2: (2, false, SHORT_MS, FEW_CALLERS);
    planned_work_1: (1, true, SHORT_MS, FEW_CALLERS);
    planned_work_2: (2, true, SHORT_MS, FEW_CALLERS);
    // Links to live servers were cut. A request that was interrupted there was refused for minutes
    // as if it had crashed the servers.
    cut_links_to_live_servers: (1_030, false, 12_000, FEW_CALLERS);
    // A silent server was given up before another one had accepted its stream.
    streams_of_a_paused_server: (31_011, true, 12_000, MANY_CALLERS);
}

fn random_faults_violate_no_guarantee(
    seed: u64,
    is_planned_only: bool,
    duration_ms: u64,
    callers: usize,
) {
    block_on(async {
        let options = SoakOptions {
            seed,
            duration_ms,
            is_planned_only,
            callers,
            ..SoakOptions::default()
        };
        let report = soak::run(options).await;
        let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
        for (name, log) in &report.logs {
            println!("--- {name}\n{log}");
        }
        assert!(
            violations.is_empty(),
            "{violations:#?}\n{:#?}",
            report.injections
        );
        assert!(report.answered > 0, "no request was answered");
    });
}
