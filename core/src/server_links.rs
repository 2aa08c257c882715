//! Whether an instance reaches backend servers by its own links.

use crate::name::Name;

/// Number of different servers in a row that cannot be reached before the links count as lost. A single
/// server may have ended.
const MAX_UNREACHED: usize = 2;

/// What an instance knows of its links to the servers. Only new connections count: open ones may live on
/// while no new ones can be opened.
#[derive(Clone, Debug, Default)]
pub struct ServerLinks {
    /// Servers to which no connection could be opened since the last one that was. Invariant: at most
    /// [`MAX_UNREACHED`].
    unreached: Vec<Name>,
    /// Since when the links count as lost, in milliseconds.
    lost_since_ms: Option<u64>,
}

/// A change of what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The links count as lost.
    Lost,
    /// The links work again.
    Regained {
        /// Time for which they counted as lost, in milliseconds.
        lost_ms: u64,
    },
}

impl ServerLinks {
    /// Records that a connection to a server was opened.
    pub fn record_opened(&mut self, now_ms: u64) -> Option<LinkChange> {
        self.unreached.clear();
        let since_ms = self.lost_since_ms.take()?;
        Some(LinkChange::Regained {
            lost_ms: now_ms.saturating_sub(since_ms),
        })
    }

    /// Records that no connection to a server could be opened.
    pub fn record_unreached(&mut self, server: &Name, now_ms: u64) -> Option<LinkChange> {
        if self.lost_since_ms.is_some() || self.unreached.contains(server) {
            return None;
        }
        self.unreached.push(server.clone());
        if self.unreached.len() < MAX_UNREACHED {
            return None;
        }
        self.lost_since_ms = Some(now_ms);
        Some(LinkChange::Lost)
    }

    /// Returns whether the latest attempt to open a connection has failed.
    pub fn has_failed(&self) -> bool {
        !self.unreached.is_empty()
    }

    /// Returns for how long the links have counted as lost, in milliseconds; `None` if they work.
    pub fn lost_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.lost_since_ms?))
    }
}
