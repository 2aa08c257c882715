//! Preferred servers of adapters by rendezvous hash.
//!
//! Ranking all servers for each request would cost a hash for each server. Instead, the highest
//! ranked servers of an adapter are cached and updated when the servers change: a server that joins
//! is compared with the cached ones, and one that leaves invalidates only the lists that contain
//! it.

use std::collections::HashMap;

use super::digest::ModelKey;
use super::servers::ServerIndex;

/// Minimum number of preferred servers cached for an adapter; doubled when more are requested.
const INITIAL_LIST_LENGTH: usize = 8;

type Ranked = (u64, ServerIndex);

/// The highest ranked servers of an adapter.
#[derive(Debug)]
struct PreferenceList {
    /// Invariant: the highest weights of all members, in descending order.
    ranked: Vec<Ranked>,
    /// Number of servers for which the list was computed.
    wanted: usize,
}

/// Preferred servers of the adapters of one pool.
#[derive(Debug, Default)]
pub(super) struct PreferredServers {
    /// Servers of the pool with the hashes of their names.
    members: Vec<(ServerIndex, u64)>,
    lists: HashMap<ModelKey, PreferenceList>,
}

impl PreferredServers {
    pub(super) fn members(&self) -> &[(ServerIndex, u64)] {
        &self.members
    }

    /// Adds a server to the pool and to the lists in which it ranks.
    pub(super) fn add_server(&mut self, server: ServerIndex, name_hash: u64) {
        self.members.push((server, name_hash));
        for (model, list) in &mut self.lists {
            list.insert((weight(*model, name_hash), server));
        }
    }

    /// Removes a server from the pool and drops the lists that contain it.
    pub(super) fn remove_server(&mut self, server: ServerIndex) {
        self.members.retain(|(member, _)| *member != server);
        self.lists
            .retain(|_, list| list.ranked.iter().all(|(_, ranked)| *ranked != server));
    }

    /// Removes the list of an adapter without demand.
    pub(super) fn remove_adapter(&mut self, model: ModelKey) {
        self.lists.remove(&model);
    }

    /// Returns at least the first `wanted` preferred servers of an adapter, or all if there are
    /// fewer.
    pub(super) fn first_servers(
        &mut self,
        model: ModelKey,
        wanted: usize,
    ) -> impl Iterator<Item = ServerIndex> {
        let is_kept = self
            .lists
            .get(&model)
            .is_some_and(|list| list.wanted >= wanted);
        if !is_kept {
            let list = self.rank(model, wanted.next_power_of_two().max(INITIAL_LIST_LENGTH));
            self.lists.insert(model, list);
        }
        let list = self.lists.get(&model);
        let ranked = list.map_or(&[][..], |list| &list.ranked);
        ranked.iter().map(|(_, server)| *server)
    }

    fn rank(&self, model: ModelKey, wanted: usize) -> PreferenceList {
        let members = self.members.iter();
        let mut ranked: Vec<Ranked> = members
            .map(|(server, name_hash)| (weight(model, *name_hash), *server))
            .collect();
        if ranked.len() > wanted {
            ranked.select_nth_unstable_by(wanted, |left, right| right.cmp(left));
            ranked.truncate(wanted);
        }
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.shrink_to_fit();
        PreferenceList { ranked, wanted }
    }
}

impl PreferenceList {
    fn insert(&mut self, candidate: Ranked) {
        let position = self.ranked.partition_point(|kept| *kept > candidate);
        if position < self.wanted {
            self.ranked.insert(position, candidate);
            self.ranked.truncate(self.wanted);
        }
    }
}

/// Mixes two hashes into a rendezvous weight (the finaliser of `SplitMix64`).
pub(super) fn weight(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
