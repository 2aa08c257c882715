//! The few servers that are compared for a request.

use super::Placement;
use super::digest::ModelKey;
use super::homes::weight;
use super::score::{Ask, Candidate};
use super::servers::ServerIndex;

/// Candidates that hold the adapter, of which at most so many are compared.
const RESIDENTS_COMPARED: usize = 8;
/// Candidates that would have to load it.
const HOMES_COMPARED: usize = 4;

impl Placement {
    /// Servers that have the adapter, and homes that could load it.
    pub(super) fn likely(&mut self, ask: &Ask<'_>, model: ModelKey) -> Vec<Candidate> {
        let residents = self.residency.servers(model);
        let is_resident = |server: ServerIndex| {
            let server = self.servers.get(server);
            server.is_some_and(|server| server.presence(model).is_some())
        };
        let resident = |server| Candidate { server, rank: 0 };
        let compared = RESIDENTS_COMPARED + ask.excluded.len();
        let some = turned(residents, self.choices, compared);
        let mut candidates: Vec<Candidate> = some.copied().map(resident).collect();
        let cached = self.prefixes.servers(ask.prompt_hash, ask.now_ms);
        let cached = cached.map(|(server, _)| server);
        for server in cached.filter(|server| is_resident(*server)) {
            if candidates.iter().all(|known| known.server != server) {
                candidates.push(resident(server));
            }
        }
        let Some(pool) = self.pools.get_mut(ask.pool) else {
            return candidates;
        };
        let wanted = residents.len() + HOMES_COMPARED + ask.excluded.len();
        let homes = pool.homes.first(model, wanted);
        let homes = homes.skip(residents.len().saturating_sub(RESIDENTS_COMPARED));
        let absent = homes.take(compared + HOMES_COMPARED);
        let absent = absent.filter(|server| !is_resident(*server));
        let ranked = absent.enumerate();
        candidates.extend(ranked.map(|(rank, server)| Candidate { server, rank }));
        candidates
    }

    pub(super) fn random(&mut self, ask: &Ask<'_>, seed: u64) -> Vec<Candidate> {
        let Some(pool) = self.pools.get(ask.pool) else {
            return Vec::new();
        };
        let salt = weight(seed, self.choices);
        let mut members: Vec<(u64, ServerIndex)> = pool
            .homes
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

    pub(super) fn all(&self, ask: &Ask<'_>) -> Vec<Candidate> {
        let members = self.pools.get(ask.pool).map(|pool| pool.homes.members());
        self.window(ask, members.map_or(0, <[_]>::len))
    }

    /// Some servers of the pool, beginning at another one each time.
    pub(super) fn window(&self, ask: &Ask<'_>, count: usize) -> Vec<Candidate> {
        let Some(pool) = self.pools.get(ask.pool) else {
            return Vec::new();
        };
        turned(pool.homes.members(), self.choices, count)
            .map(|(server, _)| Candidate {
                server: *server,
                rank: 0,
            })
            .collect()
    }

    pub(super) fn home_order(&mut self, ask: &Ask<'_>, model: ModelKey) -> Vec<Candidate> {
        let Some(pool) = self.pools.get_mut(ask.pool) else {
            return Vec::new();
        };
        let homes = pool.homes.first(model, HOMES_COMPARED + ask.excluded.len());
        homes
            .enumerate()
            .map(|(rank, server)| Candidate { server, rank })
            .collect()
    }
}

/// At most `count` of the items, beginning at another one with each `turn`.
fn turned<T>(items: &[T], turn: u64, count: usize) -> impl Iterator<Item = &T> {
    let length = items.len();
    let first = if count < length {
        usize::try_from(turn).unwrap_or(0) % length
    } else {
        0
    };
    let (before, after) = items.split_at(first);
    after.iter().chain(before).take(count)
}
