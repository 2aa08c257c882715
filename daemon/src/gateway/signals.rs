//! Signals by which the platform asks for a stop or reports new settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives the signals of the process. Until it exists, each of them ends the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    /// The settings file has changed.
    hangup: Signal,
}

/// Receives the signals that ask for a stop.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Starts to receive the signals. Needs a runtime.
    ///
    /// # Errors
    ///
    /// Signals cannot be received.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Separates the signals that ask for a stop from the others.
    pub(crate) fn split(self) -> (StopSignals, Signal) {
        let stop = StopSignals {
            terminate: self.terminate,
            interrupt: self.interrupt,
        };
        (stop, self.hangup)
    }
}

impl StopSignals {
    /// Returns once a stop is asked for.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
