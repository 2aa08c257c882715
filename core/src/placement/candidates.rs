//! Selects the few servers that are compared for a request.

use super::Placement;
use super::digest::ModelKey;
use super::preferred_servers::weight;
use super::score::{Candidate, PlacementQuery};
use super::servers::ServerIndex;

/// Maximum number of compared servers that hold the adapter.
const RESIDENTS_COMPARED: usize = 8;
/// Number of compared servers that would have to load it.
const PREFERRED_COMPARED: usize = 4;

impl Placement {
    /// Returns servers that hold the adapter, and preferred servers that could load it.
    pub(super) fn product_candidates(
        &mut self,
        query: &PlacementQuery<'_>,
        model: ModelKey,
    ) -> Vec<Candidate> {
        let residents = self.residency.servers(model);
        let is_resident = |server: ServerIndex| {
            let server = self.servers.get(server);
            server.is_some_and(|server| server.presence(model).is_some())
        };
        let resident = |server| Candidate { server, rank: 0 };
        let compared = RESIDENTS_COMPARED + query.excluded.len();
        let sampled = rotated(residents, self.choices, compared);
        let mut candidates: Vec<Candidate> = sampled.copied().map(resident).collect();
        let cached = self.prefixes.servers(query.prompt_hash, query.now_ms);
        let cached = cached.map(|(server, _)| server);
        for server in cached.filter(|server| is_resident(*server)) {
            if candidates.iter().all(|known| known.server != server) {
                candidates.push(resident(server));
            }
        }
        let Some(pool) = self.pools.get_mut(query.pool) else {
            return candidates;
        };
        let wanted = residents.len() + PREFERRED_COMPARED + query.excluded.len();
        let preferred = pool.preferred.first_servers(model, wanted);
        let preferred = preferred.skip(residents.len().saturating_sub(RESIDENTS_COMPARED));
        let absent = preferred.take(compared + PREFERRED_COMPARED);
        let absent = absent.filter(|server| !is_resident(*server));
        let ranked = absent.enumerate();
        candidates.extend(ranked.map(|(rank, server)| Candidate { server, rank }));
        candidates
    }

    pub(super) fn random_candidates(
        &mut self,
        query: &PlacementQuery<'_>,
        seed: u64,
    ) -> Vec<Candidate> {
        let Some(pool) = self.pools.get(query.pool) else {
            return Vec::new();
        };
        let salt = weight(seed, self.choices);
        let mut members: Vec<(u64, ServerIndex)> = pool
            .preferred
            .members()
            .iter()
            .map(|(server, name_hash)| (weight(salt, *name_hash), *server))
            .collect();
        members.sort_unstable();
        members
            .iter()
            .enumerate()
            .map(|(rank, (_, server))| Candidate {
                server: *server,
                rank,
            })
            .collect()
    }

    pub(super) fn all_candidates(&self, query: &PlacementQuery<'_>) -> Vec<Candidate> {
        let members = self
            .pools
            .get(query.pool)
            .map(|pool| pool.preferred.members());
        self.rotating_candidates(query, members.map_or(0, <[_]>::len))
    }

    /// Returns at most `count` servers of the pool, starting at another one each time.
    pub(super) fn rotating_candidates(
        &self,
        query: &PlacementQuery<'_>,
        count: usize,
    ) -> Vec<Candidate> {
        let Some(pool) = self.pools.get(query.pool) else {
            return Vec::new();
        };
        rotated(pool.preferred.members(), self.choices, count)
            .map(|(server, _)| Candidate {
                server: *server,
                rank: 0,
            })
            .collect()
    }

    pub(super) fn preferred_candidates(
        &mut self,
        query: &PlacementQuery<'_>,
        model: ModelKey,
    ) -> Vec<Candidate> {
        let Some(pool) = self.pools.get_mut(query.pool) else {
            return Vec::new();
        };
        let preferred = pool
            .preferred
            .first_servers(model, PREFERRED_COMPARED + query.excluded.len());
        preferred
            .enumerate()
            .map(|(rank, server)| Candidate { server, rank })
            .collect()
    }
}

/// Returns at most `count` of the items, starting at another one with each `turn`.
fn rotated<T>(items: &[T], turn: u64, count: usize) -> impl Iterator<Item = &T> {
    let length = items.len();
    let first = if count < length {
        usize::try_from(turn).unwrap_or(0) % length
    } else {
        0
    };
    let (before, after) = items.split_at(first);
    after.iter().chain(before).take(count)
}
