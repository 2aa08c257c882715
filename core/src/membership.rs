//! Gossip membership with failure detection: which instances are live.
//!
//! The platform's list names the instances but lags. Heartbeats between instances are fast but
//! cannot distinguish a dead instance from an unreachable one. An instance counts as live if it is
//! in the list (or has sent a heartbeat) and was seen recently, by this instance or by one that
//! watches it. To keep the cost per instance constant, each instance sends heartbeats to a bounded
//! number of successors on a ring of names and gossips membership updates with them.

use std::collections::BTreeMap;

use crate::freshness::PeerFreshness;
use crate::name::{InstanceId, Name};
use crate::ownership::Candidate;
use crate::placement::digest::ServerDigest;

/// Maximum number of peers to which an instance sends heartbeats.
pub const MAX_WATCHED: usize = 8;
/// Maximum number of membership updates in one heartbeat.
pub const MAX_UPDATES_PER_HEARTBEAT: usize = 16;

crate::record! {
    /// Timeouts of failure detection.
    #[derive(Copy)]
    pub struct MembershipSettings {
        /// Time without contact after which a watched instance counts as unresponsive.
        pub peer_timeout_ms: u64,
    }

    /// Entry of an instance in the platform's list.
    pub struct ListedInstance {
        /// Name, unique in the list.
        pub name: Name,
        /// Address on which it accepts connections of other instances.
        pub peer_address: Name,
        /// Availability zone.
        pub zone: Name,
        /// Whether it is about to stop.
        pub leaving: bool,
    }

    /// Heartbeat, with the sender's state and its queued membership updates.
    pub struct Heartbeat {
        /// The sender, so that a peer whose list lags learns its address.
        pub sender: ListedInstance,
        /// Whether the sender reaches the platform's store without another instance.
        pub reaches_store: bool,
        /// Revision and age of the sender's configuration.
        pub freshness: PeerFreshness,
        /// Digest of the sender's configuration.
        pub config_digest: u64,
        /// State changes of other instances.
        pub updates: Vec<MembershipUpdate>,
        /// State of the backend servers that the sender owns.
        pub digests: Vec<ServerDigest>,
    }

    /// State of a process as reported by a peer.
    pub struct MembershipUpdate {
        /// Instance name and incarnation of the process.
        pub id: InstanceId,
        /// State of the process at the peer.
        pub state: MemberState,
    }
}

crate::key_record! {
    /// State of a process.
    #[derive(Copy)]
    pub enum MemberState {
        /// The process responds.
        Live,
        /// The process has announced its stop: it finishes running requests and accepts no new ones.
        Leaving,
        /// The process does not respond.
        Unresponsive,
        /// The process has sent its leave notice.
        Terminated,
    }
}

crate::record! {
    /// Known state of an instance.
    pub struct Member {
        /// Name, address and zone.
        pub listed: ListedInstance,
        /// Incarnation of its newest known process, 0 before the first contact.
        pub incarnation: u64,
        /// State of the process with this incarnation.
        pub state: MemberState,
        /// Whether it reached the platform's store at its last heartbeat; `true` before the first.
        pub reaches_store: bool,
        /// Largest configuration revision in force that it has reported.
        pub config_revision: u64,
        /// Time of the last contact on the local monotonic clock, in milliseconds.
        pub last_seen_ms: u64,
        /// Time at which this instance began to watch it, in milliseconds.
        pub watched_since_ms: u64,
    }
}

/// Known state of all other instances.
#[derive(Clone, Debug)]
pub struct Membership {
    own: ListedInstance,
    settings: MembershipSettings,
    members: BTreeMap<Name, Member>,
    /// Updates to gossip, newest last, with the number of times each was sent.
    updates: Vec<(MembershipUpdate, usize)>,
    /// Version of the member list. Invariant: grows whenever the set of candidates changes.
    version: u64,
}

impl Membership {
    /// Returns the entry of this instance for its heartbeats.
    pub fn own_listing(&self, leaving: bool) -> ListedInstance {
        ListedInstance {
            leaving,
            ..self.own.clone()
        }
    }

    /// Creates a membership without peers.
    pub fn new(own: ListedInstance, settings: MembershipSettings) -> Self {
        Self {
            own,
            settings,
            members: BTreeMap::new(),
            updates: Vec::new(),
            version: 1,
        }
    }

    /// Applies the platform's list.
    ///
    /// An instance that is not listed stays a member while contact lasts, because the list lags.
    pub fn set_list(&mut self, list: impl IntoIterator<Item = ListedInstance>, now_ms: u64) {
        let list: BTreeMap<Name, ListedInstance> = list
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        let timeout_ms = self.settings.peer_timeout_ms;
        let before = self.members.len();
        self.members.retain(|name, member| {
            list.contains_key(name) || now_ms < member.last_seen_ms + timeout_ms
        });
        let mut changed = self.members.len() != before;
        for (name, listed) in list {
            if name == self.own.name {
                continue;
            }
            changed |= self.add(listed, now_ms);
        }
        self.bump_version(changed);
    }

    /// Records a message received directly from a process.
    fn record_contact(&mut self, id: &InstanceId, leaving: bool, now_ms: u64) {
        let state = if leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        let Some(member) = self.members.get_mut(&id.name) else {
            return;
        };
        if id.incarnation < member.incarnation {
            return;
        }
        member.last_seen_ms = now_ms;
        let same_process = id.incarnation == member.incarnation;
        // A leave notice or an announced stop is final for its process.
        let state = if same_process {
            merge_states(member.state, state)
        } else {
            state
        };
        let changed = !same_process || member.state != state;
        member.incarnation = id.incarnation;
        member.state = state;
        self.queue_update(id.clone(), state, changed);
    }

    /// Applies a received heartbeat or the response to one.
    pub fn on_heartbeat(&mut self, from: &InstanceId, beat: &Heartbeat, now_ms: u64) {
        self.add_if_unknown(&beat.sender, now_ms);
        self.record_contact(from, beat.sender.leaving, now_ms);
        if let Some(member) = self.members.get_mut(&from.name) {
            member.reaches_store = beat.reaches_store;
            member.config_revision = member.config_revision.max(beat.freshness.revision);
        }
        for update in &beat.updates {
            self.on_update(update, now_ms);
        }
    }

    /// Marks an instance as unresponsive, because its address refuses connections.
    pub fn on_connection_refused(&mut self, name: &str) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        if matches!(member.state, MemberState::Live | MemberState::Leaving) {
            let id = InstanceId::new(member.listed.name.clone(), member.incarnation);
            self.set_state(&id, MemberState::Unresponsive);
        }
    }

    /// Applies the leave notice of a process.
    pub fn on_leave(&mut self, id: &InstanceId) {
        self.set_state(id, MemberState::Terminated);
    }

    /// Applies a membership update received from a peer.
    pub fn on_update(&mut self, update: &MembershipUpdate, now_ms: u64) {
        let Some(member) = self.members.get(&update.id.name) else {
            return;
        };
        if update.id.incarnation < member.incarnation {
            return;
        }
        let is_recently_seen = now_ms < member.last_seen_ms + self.settings.peer_timeout_ms;
        let is_newer = update.id.incarnation > member.incarnation;
        match update.state {
            // Recent direct contact outweighs a peer's report that the process does not respond.
            MemberState::Unresponsive if is_recently_seen && !is_newer => {}
            MemberState::Live if !is_newer && member.state != MemberState::Unresponsive => {}
            state => self.set_state(&update.id, state),
        }
    }

    /// Marks watched instances without contact for `peer_timeout_ms` as unresponsive.
    pub fn tick(&mut self, now_ms: u64) {
        let timeout_ms = self.settings.peer_timeout_ms;
        for name in self.watched() {
            let Some(member) = self.members.get(&name) else {
                continue;
            };
            let since_ms = member.last_seen_ms.max(member.watched_since_ms);
            let is_timed_out = now_ms >= since_ms + timeout_ms;
            if is_timed_out && matches!(member.state, MemberState::Live | MemberState::Leaving) {
                let id = InstanceId::new(name, member.incarnation);
                self.set_state(&id, MemberState::Unresponsive);
            }
        }
    }

    /// Returns the names of the peers to which this instance sends heartbeats: its successors on
    /// the ring of names.
    pub fn watched(&self) -> Vec<Name> {
        let after = self.members.range::<Name, _>((
            std::ops::Bound::Excluded(&self.own.name),
            std::ops::Bound::Unbounded,
        ));
        let before = self.members.range::<Name, _>(..&self.own.name);
        after
            .chain(before)
            .take(MAX_WATCHED)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Takes the updates for the next heartbeat. Each is sent a few times the logarithm of the number
    /// of members, which is enough to reach all members with the bounded number of targets.
    pub fn take_updates(&mut self) -> Vec<MembershipUpdate> {
        let sends = 3 * (self.members.len().max(2).ilog2() as usize + 1);
        let start = self.updates.len().saturating_sub(MAX_UPDATES_PER_HEARTBEAT);
        let taken = self.updates[start..].iter_mut().map(|(update, sent)| {
            *sent += 1;
            update.clone()
        });
        let taken = taken.collect();
        self.updates.retain(|(_, sent)| *sent < sends);
        taken
    }

    /// Returns the peers that are live and not leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state == MemberState::Live)
    }

    /// Returns all known instances except this one, whatever their state.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member with this name; `None` for this instance itself.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns whether a process has certainly terminated: it sent its leave notice, a later process
    /// of its instance was seen, or the platform no longer lists it and nobody has contact with it.
    pub fn has_terminated(&self, id: &InstanceId) -> bool {
        match self.members.get(&id.name) {
            None => id.name != self.own.name,
            Some(member) if member.incarnation > id.incarnation => true,
            Some(member) => {
                member.incarnation == id.incarnation && member.state == MemberState::Terminated
            }
        }
    }

    /// Returns whether this instance reaches more than half of all instances, itself included.
    pub fn reaches_majority(&self) -> bool {
        let has_terminated = |member: &&Member| member.state == MemberState::Terminated;
        let all = self.members.len() + 1 - self.members.values().filter(has_terminated).count();
        let unresponsive = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Unresponsive)
            .count();
        2 * (all - unresponsive) > all
    }

    /// Returns the instances that may own backend servers, this one included unless it is `leaving`.
    pub fn candidates(&self, leaving: bool) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .live()
            .map(|member| candidate(&member.listed))
            .collect();
        if !leaving {
            candidates.push(candidate(&self.own));
        }
        candidates
    }

    /// Returns the names of the instances that may hold a role which needs the platform's store:
    /// those that reach it, or all if none does. `reaches_store` is the state of this instance.
    pub fn store_candidates(&self, leaving: bool, reaches_store: bool) -> Vec<Name> {
        let own = (!leaving).then(|| (self.own.name.clone(), reaches_store));
        let others = self
            .live()
            .map(|it| (it.listed.name.clone(), it.reaches_store));
        let all: Vec<(Name, bool)> = others.chain(own).collect();
        let any_reaches = all.iter().any(|(_, reaches)| *reaches);
        all.into_iter()
            .filter(|(_, reaches)| *reaches || !any_reaches)
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the processes that are live and not leaving, without this one.
    pub fn live_processes(&self) -> impl Iterator<Item = InstanceId> {
        let live = self.live().filter(|member| member.incarnation > 0);
        live.map(|member| InstanceId::new(member.listed.name.clone(), member.incarnation))
    }

    /// Returns the version of the member list. The candidates may have changed if it differs from an
    /// earlier one.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn add(&mut self, listed: ListedInstance, now_ms: u64) -> bool {
        if let Some(member) = self.members.get_mut(&listed.name) {
            let changed = member.listed != listed;
            member.listed = listed;
            return changed;
        }
        let member = Member {
            listed: listed.clone(),
            incarnation: 0,
            reaches_store: true,
            config_revision: 0,
            // An instance becomes a candidate at its first contact.
            state: MemberState::Unresponsive,
            last_seen_ms: 0,
            watched_since_ms: now_ms,
        };
        self.members.insert(listed.name, member);
        true
    }

    /// Adds an instance that the platform's list does not contain yet.
    fn add_if_unknown(&mut self, sender: &ListedInstance, now_ms: u64) {
        let known = sender.name == self.own.name || self.members.contains_key(&sender.name);
        if !known {
            self.add(sender.clone(), now_ms);
        }
    }

    fn set_state(&mut self, id: &InstanceId, state: MemberState) {
        let Some(member) = self.members.get_mut(&id.name) else {
            return;
        };
        if id.incarnation < member.incarnation {
            return;
        }
        let changed = member.incarnation != id.incarnation || member.state != state;
        member.incarnation = id.incarnation;
        member.state = state;
        self.queue_update(id.clone(), state, changed);
    }

    fn queue_update(&mut self, id: InstanceId, state: MemberState, changed: bool) {
        if changed {
            self.updates.retain(|(update, _)| update.id.name != id.name);
            self.updates.push((MembershipUpdate { id, state }, 0));
        }
        self.bump_version(changed);
    }

    fn bump_version(&mut self, changed: bool) {
        self.version += u64::from(changed);
    }
}

fn candidate(listed: &ListedInstance) -> Candidate {
    Candidate {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
    }
}

/// Returns the new state of a process. `Terminated` and `Leaving` never become `Live` again.
fn merge_states(known: MemberState, reported: MemberState) -> MemberState {
    match (known, reported) {
        (MemberState::Terminated, _) => MemberState::Terminated,
        (MemberState::Leaving, MemberState::Live) => MemberState::Leaving,
        (_, reported) => reported,
    }
}
