//! Reloads the settings file while the process runs.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use mimosabay_platform::ProcessSettings;
use tokio::signal::unix::Signal;
use tokio::time::timeout;
use tracing::{info, warn};

use super::state::State;

/// Time between two reads of the file if no signal arrives, in milliseconds.
const CHECK_PERIOD_MS: u64 = 5_000;

/// Applies changes of the settings file until the process ends. Addresses stay as they were at the
/// start.
pub(crate) async fn run(state: Arc<State>, path: Arc<Path>, mut hangup: Signal) {
    loop {
        let signal = timeout(Duration::from_millis(CHECK_PERIOD_MS), hangup.recv()).await;
        reload(&state, &path, signal.is_ok());
    }
}

fn reload(state: &State, path: &Path, is_asked: bool) {
    match read_settings(path) {
        Ok(settings) => {
            let is_changed = state.set_settings(settings);
            if is_changed || is_asked {
                info!(event = "reload", is_changed, is_asked);
            }
        }
        Err(cause) => warn!(event = "reload_failed", cause),
    }
}

/// Reads the settings file.
///
/// # Errors
///
/// The cause, with its position in the file.
pub fn read_settings(path: &Path) -> Result<ProcessSettings, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| format!("{}: cannot read the settings: {cause}", path.display()))?;
    ProcessSettings::parse(&text)
        .map_err(|cause| format!("{}: cannot read the settings: {cause}", path.display()))
}
