//! Polls the reports of the backend servers that this instance owns.

use std::sync::{Arc, Weak};

use mimosabay_backend::LoadReport;
use mimosabay_core::queue::ServerQueue;
use tracing::{info, warn};

use crate::instance::Instance;
use crate::owner::OwnedServer;
use crate::takeover;

/// Time between two reports of a server.
const REPORT_PERIOD_MS: u64 = 500;
/// Consecutive failed reports after which the server counts as unresponsive.
const FAILURES_UNTIL_UNRESPONSIVE: u32 = 2;

/// Polls a server's reports until this instance no longer owns it.
pub async fn run(instance: Weak<Instance>, server: Weak<OwnedServer>) {
    let Some(mut ticks) = instance
        .upgrade()
        .map(|it| it.timer.subscribe(REPORT_PERIOD_MS))
    else {
        return;
    };
    let mut failed_reports = 0;
    while ticks.recv().await.is_some() {
        let (Some(instance), Some(server)) = (instance.upgrade(), server.upgrade()) else {
            return;
        };
        match server.engine.fetch_report().await {
            Ok(report) => {
                failed_reports = 0;
                apply_report(&instance, &server, &report).await;
            }
            Err(cause) => {
                failed_reports += 1;
                if failed_reports == FAILURES_UNTIL_UNRESPONSIVE {
                    warn!(server = %server.name, %cause, "backend server is silent");
                    server.is_responsive.send_replace(false);
                }
            }
        }
    }
}

async fn apply_report(instance: &Arc<Instance>, server: &Arc<OwnedServer>, report: &LoadReport) {
    let restarted = {
        let mut state = server.state.lock().expect("owned server lock");
        let restarted = state.boot != 0 && state.boot != report.boot;
        state.boot = report.boot;
        if restarted {
            state.discard_loaded_handles();
            state.takeover.on_server_restart();
        }
        restarted
    };
    if restarted {
        info!(server = %server.name, "backend server has restarted");
        server.update_queue(instance, ServerQueue::on_restarted);
        // The restart also reset the engine's accepted fencing number.
        takeover::invalidate_claim(server, server.fencing()).await;
    }
    takeover::reconcile(instance, server, report);
    if !*server.is_responsive.borrow() {
        info!(server = %server.name, "backend server answers again");
        server.is_responsive.send_replace(true);
    }
}
