//! Collects service-level counters in an instance and adds them to the stored record.

use crate::slo::{Outcome, SloRecord, Writer};

/// Counters of one process that are not stored yet.
///
/// A flush reads the stored record, writes the result of [`merge`](Self::merge) on the condition
/// that the record is still at the version read, and calls
/// [`confirm_write`](Self::confirm_write) if the store confirms the write. After a failure the next
/// flush reads the record again, which shows whether the last write took effect. Every outcome is
/// therefore stored exactly once.
#[derive(Debug)]
pub struct SloRecorder {
    incarnation: u64,
    /// Number of the last addition that was started.
    sequence: u64,
    /// Counters that are not part of an addition yet.
    pending: SloRecord,
    /// The addition that was started and is not confirmed. Invariant: its number is `sequence`.
    in_flight: Option<SloRecord>,
}

impl SloRecorder {
    /// Creates a recorder for the process with this incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            pending: SloRecord::default(),
            in_flight: None,
        }
    }

    /// Counts the outcome of a request at `now_unix_ms`, in milliseconds since 1970-01-01.
    pub fn count(&mut self, organisation: &str, route: &str, outcome: Outcome, now_unix_ms: u64) {
        let series = self.pending.series_mut(organisation, route);
        series.count(outcome, now_unix_ms);
    }

    /// Returns the record to write in place of `stored`, or `None` if there is nothing to add.
    pub fn merge(&mut self, stored: Option<SloRecord>, now_unix_ms: u64) -> Option<SloRecord> {
        let mut record = stored.unwrap_or_default();
        if record.contains_addition(self.writer()) {
            self.in_flight = None;
        }
        if self.in_flight.is_none() {
            self.start_addition()?;
        }
        record.add(self.in_flight.as_ref()?);
        record.compact(now_unix_ms);
        record.record_writer(self.writer());
        Some(record)
    }

    /// Records that the store confirmed the write of the last [`merge`](Self::merge).
    pub fn confirm_write(&mut self) {
        self.in_flight = None;
    }

    fn start_addition(&mut self) -> Option<()> {
        if self.pending.series.is_empty() {
            return None;
        }
        self.in_flight = Some(std::mem::take(&mut self.pending));
        self.sequence += 1;
        Some(())
    }

    fn writer(&self) -> Writer {
        Writer {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}
