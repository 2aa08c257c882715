//! Retries taken from the budget of a service.

use std::sync::Arc;
use std::time::Duration;

use mimosabay_core::name::Name;
use tokio::time::sleep;

use super::state::State;

/// Time between two checks whether a retry is available, in milliseconds.
const CHECK_PERIOD_MS: u64 = 50;

/// A retry. Dropping it returns it to the budget unless it was spent.
pub(super) struct RetryPermit {
    state: Arc<State>,
    service: Name,
    is_spent: bool,
}

impl RetryPermit {
    /// Takes a retry as soon as one is available.
    pub(super) async fn take(state: &Arc<State>, service: &Name) -> Self {
        while !state.try_take_retry(service) {
            sleep(Duration::from_millis(CHECK_PERIOD_MS)).await;
        }
        Self {
            state: state.clone(),
            service: service.clone(),
            is_spent: false,
        }
    }

    /// Uses the retry for an attempt.
    pub(super) fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.state.return_retry(&self.service);
        }
    }
}
