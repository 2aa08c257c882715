//! Assigns streams that callers take up to servers of the software version that began them.

use std::collections::{BTreeMap, BTreeSet};

use super::Cell;
use super::engine::{Engine, ReportState};
use super::message::{PlacementRequest, Refusal, RefusalReason, Ticket};
use crate::name::Name;
use crate::software_versions::SoftwareVersions;
use crate::stream_placement::RequiredVersion;
use crate::stream_versions::{StreamVersion, StreamVersions};

/// Time for which a stream waits until instances report its version, or until a server of the version can
/// be chosen, in milliseconds. Each instance reports within it.
const MAX_WAIT_MS: u64 = 400;
/// Retry delay sent to the caller of a stream whose version is unknown, in milliseconds.
const UNKNOWN_VERSION_RETRY_MS: u64 = 400;
/// Time between two removals of streams that no caller takes up any more, in milliseconds.
const EXPIRY_PERIOD_MS: u64 = 1_000;

/// The streams of the cell, and those that wait for their version.
#[derive(Debug, Default)]
pub(super) struct Streams {
    known: StreamVersions,
    software: SoftwareVersions,
    waiting: BTreeMap<Ticket, WaitingStream>,
    /// Streams whose known version has changed since the last call of [`Cell::take_stream_changes`].
    changed: BTreeSet<Name>,
    /// Streams that have begun since the last call of [`Cell::take_begun_streams`], of services that have several
    /// versions.
    begun: BTreeSet<Name>,
    /// Services of which all known streams have been reported as changes, because they have several
    /// versions.
    reported_services: BTreeSet<Name>,
    /// Time from which on expired streams are removed, in milliseconds.
    expiry_due_ms: u64,
}

#[derive(Debug)]
struct WaitingStream {
    request: PlacementRequest,
    requested_ms: u64,
}

impl Streams {
    /// Returns when waiting streams are to be refused, in milliseconds.
    pub(super) fn due_ms(&self) -> Option<u64> {
        let requested = self.waiting.values().map(|waiting| waiting.requested_ms);
        Some(requested.min()? + MAX_WAIT_MS)
    }

    /// Removes streams whose caller has left, or whose instance has ended.
    pub(super) fn remove(&mut self, is_gone: impl Fn(Ticket) -> bool) -> Vec<PlacementRequest> {
        let gone = self.waiting.extract_if(.., |ticket, _| is_gone(*ticket));
        gone.map(|(_, waiting)| waiting.request).collect()
    }

    /// Returns the version that a request requires. What an assignment shows is only relied on once the
    /// instance that received it has had time to report at which server the stream began.
    fn required(
        &self,
        request: &PlacementRequest,
        requested_ms: u64,
        now_ms: u64,
    ) -> RequiredVersion {
        let (known, software) = (&self.known, &self.software);
        let stream = &request.stream;
        let has_several = software.has_several(&request.service, now_ms);
        let is_reported = stream
            .name(&request.request_id)
            .is_none_or(|name| known.has_begun(name));
        if has_several && stream.is_unknown() && !is_reported && now_ms < requested_ms + MAX_WAIT_MS
        {
            return RequiredVersion::Unknown;
        }
        stream.required_version(&request.service, known, software, now_ms)
    }

    fn record(&mut self, stream: &StreamVersion, now_ms: u64) {
        let had_begun = self.known.has_begun(&stream.stream);
        let is_changed = self.known.record(stream, now_ms);
        if !self.reported_services.contains(&stream.service) {
            return;
        }
        if is_changed {
            self.changed.insert(stream.stream.clone());
        }
        if stream.has_begun && !had_begun {
            self.begun.insert(stream.stream.clone());
        }
    }

    /// Reports the streams of services that have several versions now.
    fn update_reported_services(&mut self, now_ms: u64) {
        let streams: Vec<StreamVersion> = self.known.all(now_ms).collect();
        for stream in streams {
            let has_several = self.software.has_several(&stream.service, now_ms);
            if has_several && !self.reported_services.contains(&stream.service) {
                if stream.has_begun {
                    self.begun.insert(stream.stream.clone());
                }
                self.changed.insert(stream.stream);
            }
        }
        self.reported_services = self.software.services_with_several(now_ms);
    }
}

impl Cell {
    /// Takes over what the placer's own process knows of versions.
    pub fn adopt_versions(&mut self, software: SoftwareVersions, now_ms: u64) {
        if self.streams.software == software {
            return;
        }
        self.streams.software = software;
        self.streams.update_reported_services(now_ms);
        self.serve_waiting_streams(now_ms);
    }

    /// Records what instances know of streams.
    pub fn record_streams(&mut self, streams: &[StreamVersion], now_ms: u64) {
        if streams.is_empty() {
            return;
        }
        for stream in streams {
            self.streams.record(stream, now_ms);
        }
        self.serve_waiting_streams(now_ms);
    }

    /// Returns the streams of services with several versions, as far as what is known of them has changed
    /// since the last call.
    pub fn take_stream_changes(&mut self, now_ms: u64) -> Vec<StreamVersion> {
        let changed = std::mem::take(&mut self.streams.changed);
        let known = changed.iter();
        known
            .filter_map(|stream| self.streams.known.get(stream, now_ms))
            .collect()
    }

    /// Returns the streams of services with several versions that have begun since the last call.
    pub fn take_begun_streams(&mut self, now_ms: u64) -> Vec<StreamVersion> {
        let begun = std::mem::take(&mut self.streams.begun);
        let known = begun.iter();
        known
            .filter_map(|stream| self.streams.known.get(stream, now_ms))
            .collect()
    }

    pub(super) fn observe_software_versions(&mut self, now_ms: u64) {
        let backends = self.engines.values().map(|engine| &engine.backend);
        let changed = self.streams.software.observe(backends, now_ms);
        if !changed.is_empty() {
            self.streams.update_reported_services(now_ms);
        }
    }

    /// Sets the version that a stream requires. Returns `None` if the stream has to wait until it is
    /// known.
    pub(super) fn require_version(
        &mut self,
        mut request: PlacementRequest,
        now_ms: u64,
    ) -> Option<PlacementRequest> {
        match self.streams.required(&request, now_ms, now_ms) {
            RequiredVersion::Any => Some(request),
            RequiredVersion::Version(version) => {
                request.stream.set_version(version);
                Some(request)
            }
            RequiredVersion::Unknown => {
                self.add_waiting_stream(request, now_ms);
                None
            }
        }
    }

    pub(super) fn add_waiting_stream(&mut self, request: PlacementRequest, requested_ms: u64) {
        let ticket = request.ticket;
        let waiting = WaitingStream {
            request,
            requested_ms,
        };
        self.streams.waiting.insert(ticket, waiting);
    }

    /// Returns whether a stream that goes on may wait until a server of its version can be chosen, because
    /// there is one that is only avoided or unconfirmed now.
    pub(super) fn may_wait_for_version(
        &self,
        request: &PlacementRequest,
        requested_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(required) = request.stream.version() else {
            return false;
        };
        let mut engines = self.engines.values();
        let is_registered = engines.any(|engine| {
            engine.backend.service == request.service
                && engine.backend.is_ready()
                && engine.backend.software_version.as_ref() == Some(required)
                && !request.excluded.contains(&engine.backend.id)
        });
        is_registered && now_ms < requested_ms + MAX_WAIT_MS
    }

    /// Notes the version of the server that a stream is sent to.
    pub(super) fn record_assigned_stream(
        &mut self,
        request: &PlacementRequest,
        version: Option<Name>,
        now_ms: u64,
    ) {
        let Some(stream) = request.stream.name(&request.request_id) else {
            return;
        };
        let assigned = StreamVersion::new(
            stream.clone(),
            request.service.clone(),
            version,
            request.stream.has_begun(),
            request.left_ms,
        );
        self.streams.record(&assigned, now_ms);
    }

    /// Assigns the waiting streams whose version is known by now, and refuses those that have waited
    /// too long.
    pub(super) fn serve_waiting_streams(&mut self, now_ms: u64) {
        for (ticket, waiting) in std::mem::take(&mut self.streams.waiting) {
            let WaitingStream {
                mut request,
                requested_ms,
            } = waiting;
            match self.streams.required(&request, requested_ms, now_ms) {
                RequiredVersion::Any => self.place(request, requested_ms, now_ms),
                RequiredVersion::Version(version) => {
                    request.stream.set_version(version);
                    self.place(request, requested_ms, now_ms);
                }
                RequiredVersion::Unknown if now_ms < requested_ms + MAX_WAIT_MS => {
                    self.add_waiting_stream(request, requested_ms);
                }
                RequiredVersion::Unknown => {
                    self.refund(&request, now_ms);
                    let refusal = Refusal {
                        reason: RefusalReason::UnknownVersion,
                        retry_after_ms: UNKNOWN_VERSION_RETRY_MS,
                    };
                    self.refuse(ticket, refusal);
                }
            }
        }
    }

    pub(super) fn expire_streams(&mut self, now_ms: u64) {
        if now_ms >= self.streams.expiry_due_ms {
            self.streams.expiry_due_ms = now_ms + EXPIRY_PERIOD_MS;
            self.streams.known.expire(now_ms);
        }
    }
}

/// Returns whether an engine belongs to the service of a request, has not failed it, and has the software
/// version that its stream requires. A server whose connection broke may have started again with another
/// version, so that it has to be confirmed first.
pub(super) fn is_eligible(engine: &Engine, request: &PlacementRequest) -> bool {
    let has_version = |required: &Name| {
        let is_confirmed = engine.report_state == ReportState::Confirmed;
        is_confirmed && engine.backend.software_version.as_ref() == Some(required)
    };
    engine.backend.service == request.service
        && !request.excluded.contains(&engine.backend.id)
        && request.stream.version().is_none_or(has_version)
}
