//! The runs of an engine: which wait, which run, and the record of all.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use mimosabay_core::name::Name;
use tokio::sync::{oneshot, watch};

use crate::clock::unix_ms;

mimosabay_core::key_record! {
    /// How a run stands or ended.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// It waits for a place in the batch or generates.
        Running,
        /// All tokens were generated.
        Finished,
        /// It was cancelled by order or because its connection closed.
        Cancelled,
        /// Its adapter was unloaded under it.
        Evicted,
        /// The engine crashed or restarted.
        Crashed,
    }
}

mimosabay_core::record! {
    /// One run as it really was.
    pub struct RunRecord {
        /// Request id as sent, empty if there was none.
        pub request_id: Name,
        /// Handle that was asked for.
        pub handle: Name,
        /// Source of the weights behind the handle.
        pub source: Name,
        /// The prompt.
        pub prompt: String,
        /// All headers of the call.
        pub headers: Vec<(String, String)>,
        /// Start of the engine that ran it.
        pub boot: u64,
        /// When it arrived, in milliseconds since the Unix epoch.
        pub started_ms: u64,
        /// When it ended.
        pub ended_ms: Option<u64>,
        /// How it stands or ended.
        pub outcome: Outcome,
        /// Tokens that it continued after.
        pub resumed_tokens: u64,
        /// Tokens that it generated itself.
        pub generated_tokens: u64,
    }
}

/// Index of a run in the record.
pub(crate) type RunIndex = usize;

/// Place in the queue: larger priority first, then order of arrival.
type Turn = (Reverse<i64>, RunIndex);

/// All runs since the process started.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    records: Vec<RunRecord>,
    /// Invariant: one entry for each run that has not ended.
    stops: HashMap<RunIndex, watch::Sender<Option<Outcome>>>,
    waiting: BTreeMap<Turn, oneshot::Sender<()>>,
    /// Runs in the batch. Invariant: at most the size of the batch.
    running: u32,
}

impl Runs {
    /// Records.
    pub(crate) fn records(&self) -> &[RunRecord] {
        &self.records
    }

    /// Number of runs in the batch.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// Number of runs that wait for a place in the batch.
    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether a run that fits has not ended.
    pub(crate) fn is_open(&self, fits: impl Fn(&RunRecord) -> bool) -> bool {
        self.stops.keys().any(|index| fits(&self.records[*index]))
    }

    /// Handles of the runs that have not ended.
    pub(crate) fn handles_in_use(&self) -> Vec<Name> {
        let mut handles: Vec<Name> = self
            .stops
            .keys()
            .map(|index| self.records[*index].handle.clone())
            .collect();
        handles.sort();
        handles.dedup();
        handles
    }

    /// Whether a run that has not ended uses the handle.
    pub(crate) fn uses(&self, handle: &str) -> bool {
        self.is_open(|record| &*record.handle == handle)
    }

    /// Records a run; the receiver tells when it has to stop.
    pub(crate) fn start(
        &mut self,
        record: RunRecord,
    ) -> (RunIndex, watch::Receiver<Option<Outcome>>) {
        let index = self.records.len();
        self.records.push(record);
        let (stop, stopped) = watch::channel(None);
        self.stops.insert(index, stop);
        (index, stopped)
    }

    /// Takes a place in a batch of `size`, or queues for one.
    pub(crate) fn enter(
        &mut self,
        index: RunIndex,
        priority: i64,
        size: u32,
    ) -> Option<oneshot::Receiver<()>> {
        if self.running < size {
            self.running += 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert((Reverse(priority), index), sender);
        Some(receiver)
    }

    /// Gives up waiting, or gives back the place if it was granted meanwhile.
    pub(crate) fn give_up(&mut self, index: RunIndex, priority: i64) {
        if self.waiting.remove(&(Reverse(priority), index)).is_none() {
            self.leave();
        }
    }

    /// Gives a place in the batch to the next run that waits.
    pub(crate) fn leave(&mut self) {
        while let Some((_, next)) = self.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        self.running -= 1;
    }

    /// Counts a generated token.
    pub(crate) fn count_token(&mut self, index: RunIndex) {
        self.records[index].generated_tokens += 1;
    }

    /// Records the end of a run.
    pub(crate) fn end(&mut self, index: RunIndex, outcome: Outcome) {
        self.stops.remove(&index);
        let record = &mut self.records[index];
        record.ended_ms = Some(unix_ms());
        record.outcome = outcome;
    }

    /// Tells every run that has not ended and fits to stop; returns how many there were.
    pub(crate) fn stop(&self, outcome: Outcome, fits: impl Fn(&RunRecord) -> bool) -> usize {
        let mut count = 0;
        for (index, stop) in &self.stops {
            if fits(&self.records[*index]) {
                stop.send_replace(Some(outcome));
                count += 1;
            }
        }
        count
    }
}
