//! Inputs of the placer in this process.

use mimosabay_core::cell::{
    OrderAnswer, PermitRequest, PermitResponse, PlacementRequest, PlacementResponse, Report, Update,
};
use mimosabay_core::name::Name;
use mimosabay_core::quarantine::Quarantine;
use mimosabay_core::slow_start::ServerAnswer;
use mimosabay_core::stream_versions::StreamVersion;
use mimosabay_core::work::Work;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;

/// Sends inputs to the placer. A placer that has stopped does not take them.
#[derive(Clone)]
pub(super) struct Inbox {
    sender: mpsc::UnboundedSender<SentInput>,
    clock: Clock,
}

/// As [`Inbox`], without keeping the placer running.
#[derive(Clone)]
pub(super) struct WeakInbox {
    sender: mpsc::WeakUnboundedSender<SentInput>,
    clock: Clock,
}

/// An input that waits for the placer.
pub(super) struct SentInput {
    pub(super) input: Input,
    /// Time at which it was sent, in milliseconds.
    pub(super) sent_ms: u64,
}

/// The placer has stopped.
pub(super) struct Stopped;

impl Inbox {
    /// Creates the inbox of a placer, and the receiver of its inputs.
    pub(super) fn new(clock: Clock) -> (Self, mpsc::UnboundedReceiver<SentInput>) {
        let (sender, inputs) = mpsc::unbounded_channel();
        (Self { sender, clock }, inputs)
    }

    /// Sends an input.
    ///
    /// # Errors
    ///
    /// The placer has stopped.
    pub(super) fn send(&self, input: Input) -> Result<(), Stopped> {
        let sent_ms = self.clock.now_ms();
        let sent = self.sender.send(SentInput { input, sent_ms });
        sent.map_err(|_| Stopped)
    }

    pub(super) fn downgrade(&self) -> WeakInbox {
        WeakInbox {
            sender: self.sender.downgrade(),
            clock: self.clock,
        }
    }
}

impl WeakInbox {
    /// Returns the inbox if the placer has not stopped.
    pub(super) fn upgrade(&self) -> Option<Inbox> {
        Some(Inbox {
            sender: self.sender.upgrade()?,
            clock: self.clock,
        })
    }
}

/// What a placer handles.
pub(super) enum Input {
    RequestPlacement(Box<PlacementRequest>, oneshot::Sender<PlacementResponse>),
    RequestPermit(PermitRequest, oneshot::Sender<PermitResponse>),
    RequestTrial(Box<Work>, oneshot::Sender<bool>),
    Update(Box<Update>),
    OrderAnswered(Name, OrderAnswer),
    Reported(Name, Reported),
    RecordServerAnswers(Vec<ServerAnswer>),
    HoldOrders { until_ms: u64 },
    MergeQuarantine(Quarantine),
    RecordStreams(Vec<StreamVersion>),
}

/// What came of the request for a server's report.
#[derive(Debug)]
pub(super) enum Reported {
    /// The report.
    Report(Report),
    /// The server does not answer.
    Unresponsive,
    /// Only this instance does not reach the server.
    Unreached,
}
