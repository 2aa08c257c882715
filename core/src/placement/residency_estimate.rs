//! Updates the estimate of which adapters are in the memory of servers.

use super::Placement;
use super::digest::{ModelKey, ServerDigest};
use super::residency::Presence;
use super::servers::ServerIndex;

impl Placement {
    /// Applies the adapters of the owner's digest. Adapters that this instance expects to be loaded
    /// are kept for a while.
    pub(super) fn update_residency(
        &mut self,
        index: ServerIndex,
        digest: &ServerDigest,
        now_ms: u64,
    ) {
        let expect_ms = self.settings.expect_ms;
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        let loaded = digest.loaded.iter().map(|model| (*model, Presence::Loaded));
        let loading = digest.loading.iter();
        let loading = loading.map(|model| (*model, Presence::Loading));
        let reported: Vec<(ModelKey, Presence)> = loaded.chain(loading).collect();
        let before = std::mem::replace(&mut server.models, reported);
        for (model, presence) in &before {
            let is_reported = server.presence(*model).is_some();
            if !is_reported && presence.is_expected(expect_ms, now_ms) {
                server.models.push((*model, *presence));
            } else if !is_reported {
                self.residency.remove(*model, index);
            }
        }
        for (model, _) in &server.models {
            let is_new = before.iter().all(|(known, _)| known != model);
            if is_new {
                self.residency.insert(*model, index);
            }
        }
    }

    /// Records that a request for the adapter was sent. What the owner reported takes precedence.
    pub(super) fn expect_adapter(&mut self, model: ModelKey, index: ServerIndex, now_ms: u64) {
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        let expected = Presence::Expected { since_ms: now_ms };
        let mut models = server.models.iter_mut();
        match models.find(|(known, _)| *known == model) {
            None => {
                server.models.push((model, expected));
                self.residency.insert(model, index);
            }
            Some((_, Presence::Loaded | Presence::Loading)) => {}
            Some((_, known)) if known.is_expected(self.settings.expect_ms, now_ms) => {}
            Some((_, known)) => *known = expected,
        }
    }

    pub(super) fn remove_presence(&mut self, model: ModelKey, index: ServerIndex) {
        if let Some(server) = self.servers.get_mut(index) {
            server.models.retain(|(known, _)| *known != model);
            self.residency.remove(model, index);
        }
    }
}
