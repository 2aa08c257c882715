//! How a simulated server handles requests.

/// How a server handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the request and answers.
    Answer,
    /// Runs the request and answers after this time, in milliseconds.
    AnswerAfter(u64),
    /// Runs the request and answers with a body of this size, in bytes.
    AnswerBytes(usize),
    /// Runs the request and answers with status 500.
    Fail,
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Runs the request and answers with the identifier of another request.
    AnswerWithWrongId,
    /// Rejects the request with a header stating that it was not executed.
    Reject,
    /// Runs the request and answers with an earlier rejection.
    RepeatRejection {
        /// Whether the rejection names the earlier request.
        has_id: bool,
    },
    /// Runs the request and closes the connection after this many events of the stream.
    BreakAfter(u64),
    /// Runs the request and pauses in the middle of the stream.
    PauseAfter {
        /// Number of events before the pause.
        events: u64,
        /// Length of the pause, in milliseconds.
        pause_ms: u64,
    },
    /// Runs the request, stalls after this many events of the stream, and sends a byte of the next one now and
    /// then.
    TrickleAfter(u64),
    /// Runs the request and answers with neither a length nor chunks; the connection ends the answer.
    AnswerUntilClose,
    /// As [`Behaviour::AnswerUntilClose`], but ends inside the event after this many.
    EndInsideEvent(usize),
    /// As [`Behaviour::AnswerUntilClose`], but ends after the head.
    EndAfterHead,
    /// Runs the request and answers with the length of the whole body, but closes the connection after
    /// this many events; before the body of a plain answer.
    CutShort(usize),
    /// Runs the request and never answers.
    Hang,
    /// Runs the request, restarts with empty state and closes the connection.
    Crash,
}

/// What happens in the middle of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamFault {
    /// Nothing.
    None,
    /// The connection closes after the event with this number.
    BreakAfter(u64),
    /// The event after the one with this number arrives byte by byte, and never whole.
    TrickleAfter(u64),
    /// No event follows the one with number `last` for some time.
    PauseAfter { last: u64, pause_ms: u64 },
}
