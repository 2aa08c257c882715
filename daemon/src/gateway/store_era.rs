//! Era of the platform's store: the number of the copy that it runs on.
//!
//! Revisions are only compared within one era. When the store has come back from an older copy, all
//! that was read before is listed again.

use std::sync::atomic::{AtomicBool, Ordering};

use mimosabay_peer::SenderFacts;
use tokio::sync::watch;
use tracing::{info, warn};

use super::state::State;

/// The era of the store as far as this process knows it.
pub(crate) struct StoreEra {
    /// `None` until the store has answered. Never decreases.
    known: watch::Sender<Option<u64>>,
    /// Whether the era has changed since the start of this process.
    has_changed: AtomicBool,
    /// Whether a smaller era than the known one was logged.
    has_logged_fall: AtomicBool,
}

/// What an answer of the store is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEra {
    /// It is of the era in which the call was sent.
    Same,
    /// It is of an era that begins with it.
    New,
    /// It is of an era that has ended.
    Ended,
}

impl StoreEra {
    pub(crate) fn new() -> Self {
        Self {
            known: watch::Sender::new(None),
            has_changed: AtomicBool::new(false),
            has_logged_fall: AtomicBool::new(false),
        }
    }

    /// The known era; `None` until the store has answered.
    pub(crate) fn known(&self) -> Option<u64> {
        *self.known.borrow()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<u64>> {
        self.known.subscribe()
    }
}

/// Records the era that an answer of the store states. `sent_in` is the era that was known when the
/// call was sent. An answer that states none counts as of that era.
pub(crate) fn observe_answer(
    state: &State,
    stated: Option<u64>,
    sent_in: Option<u64>,
) -> AnswerEra {
    let Some(known) = state.store_era.known() else {
        let first = stated.unwrap_or(0);
        info!(event = "store_era", era = first, stated);
        state.store_era.known.send_replace(Some(first));
        return AnswerEra::Same;
    };
    let era = stated.or(sent_in).unwrap_or(known);
    if era > known {
        begin(state, known, era, "store");
        return AnswerEra::New;
    }
    if era == known {
        return AnswerEra::Same;
    }
    if sent_in.is_none_or(|sent_in| sent_in < known) {
        info!(event = "store_answer_dropped", era, known);
        return AnswerEra::Ended;
    }
    if !state
        .store_era
        .has_logged_fall
        .swap(true, Ordering::Relaxed)
    {
        warn!(event = "store_era_fell", era, known);
    }
    AnswerEra::Same
}

/// Records the era that another instance knows; returns whether its revisions are of the same era as
/// this instance's.
pub(crate) fn observe_peer(state: &State, facts: &SenderFacts) -> bool {
    if !facts.knows_eras() {
        return !state.store_era.has_changed.load(Ordering::Relaxed);
    }
    match (facts.store_era, state.store_era.known()) {
        (Some(era), Some(known)) if era > known => {
            begin(state, known, era, "instance");
            false
        }
        (Some(era), Some(known)) => era == known,
        (None, _) | (_, None) => true,
    }
}

/// Begins an era. Nothing is awaited here, so that no task sees a part of it.
fn begin(state: &State, before: u64, era: u64, source: &'static str) {
    warn!(event = "store_era_changed", before, era, source);
    state.metrics.count_store_era();
    state.store_era.has_changed.store(true, Ordering::Relaxed);
    state.store_era.known.send_replace(Some(era));
    state.replicas.reset_all();
    state.backends.begin_store_era(state.now_ms());
    state.link.on_store_era();
    state.ended_outages.send_modify(|ended| *ended += 1);
}
