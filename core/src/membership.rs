//! Which instances are alive.
//!
//! The platform's list names the instances but lags; heartbeats between instances are fast but
//! cannot tell a dead instance from an unreachable one. An instance counts as live if it is
//! listed (or introduced itself) and was heard from recently, by this instance or by one that
//! watches it. To keep the cost per node constant, each instance sends heartbeats to a bounded
//! number of successors on a ring of names, and what it learns travels as rumours.

use std::collections::BTreeMap;

use crate::freshness::PeerFreshness;
use crate::name::{InstanceId, Name};
use crate::ownership::Candidate;
use crate::placement::digest::ServerDigest;

/// Peers that an instance watches by heartbeats of its own.
pub const MAX_WATCHED: usize = 8;
/// Rumours that one heartbeat carries.
pub const MAX_RUMOURS: usize = 16;

crate::record! {
    /// Times that decide whether an instance is alive.
    #[derive(Copy)]
    pub struct MembershipSettings {
        /// Time without a sign of life after which a watched instance counts as dead.
        pub peer_timeout_ms: u64,
    }

    /// An instance as the platform lists it.
    pub struct Listed {
        /// Its name.
        pub name: Name,
        /// Address for other instances.
        pub peer_address: Name,
        /// Availability zone.
        pub zone: Name,
        /// Whether the platform is about to stop it.
        pub leaving: bool,
    }

    /// A sign of life, with what the sender knows.
    pub struct Heartbeat {
        /// The sender, so that a peer whose list lags knows where to find it.
        pub sender: Listed,
        /// Whether it reaches the platform's store itself.
        pub reaches_store: bool,
        /// How fresh its configuration is.
        pub freshness: PeerFreshness,
        /// Digest of its configuration.
        pub config_digest: u64,
        /// What it learned of others.
        pub rumours: Vec<Rumour>,
        /// State of the backend servers that it owns.
        pub digests: Vec<ServerDigest>,
    }

    /// What a peer says of an instance.
    pub struct Rumour {
        /// The process.
        pub id: InstanceId,
        /// Whether it was found alive.
        pub state: State,
    }
}

crate::key_record! {
    /// State of a process.
    #[derive(Copy)]
    pub enum State {
        /// It answers.
        Alive,
        /// It announced its stop; it finishes what runs and takes nothing new.
        Leaving,
        /// It does not answer.
        Silent,
        /// It said goodbye.
        Gone,
    }
}

crate::record! {
    /// What is known of an instance.
    pub struct Member {
        /// Its name, address and zone.
        pub listed: Listed,
        /// Number of its newest known process, 0 if it has not been heard yet.
        pub incarnation: u64,
        /// State of that process.
        pub state: State,
        /// Whether it reaches the platform's store, as far as it was heard.
        pub reaches_store: bool,
        /// Largest configuration revision that it was heard to have in force.
        pub config_revision: u64,
        /// When it was last heard, on the monotonic clock of this process.
        pub heard_ms: u64,
        /// When this instance began to watch it.
        pub watched_since_ms: u64,
    }
}

/// What this instance knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Listed,
    settings: MembershipSettings,
    members: BTreeMap<Name, Member>,
    /// Changes to pass on, newest last, with the number of times each was sent.
    rumours: Vec<(Rumour, usize)>,
    /// Number of the current view. Invariant: grows whenever the set of candidates changes.
    version: u64,
}

impl Membership {
    /// This instance as it introduces itself.
    pub fn me(&self, leaving: bool) -> Listed {
        Listed {
            leaving,
            ..self.me.clone()
        }
    }

    /// Starts with no peers.
    pub fn new(me: Listed, settings: MembershipSettings) -> Self {
        Self {
            me,
            settings,
            members: BTreeMap::new(),
            rumours: Vec::new(),
            version: 1,
        }
    }

    /// Takes in the platform's list.
    ///
    /// An instance that is not listed stays a member while it is heard, because the list lags.
    pub fn set_list(&mut self, list: impl IntoIterator<Item = Listed>, now_ms: u64) {
        let list: BTreeMap<Name, Listed> = list
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        let timeout_ms = self.settings.peer_timeout_ms;
        let before = self.members.len();
        self.members.retain(|name, member| {
            list.contains_key(name) || now_ms < member.heard_ms + timeout_ms
        });
        let mut changed = self.members.len() != before;
        for (name, listed) in list {
            if name == self.me.name {
                continue;
            }
            changed |= self.add(listed, now_ms);
        }
        self.bump(changed);
    }

    /// An instance was heard directly.
    fn heard(&mut self, id: &InstanceId, leaving: bool, now_ms: u64) {
        let state = if leaving {
            State::Leaving
        } else {
            State::Alive
        };
        let Some(member) = self.members.get_mut(&id.name) else {
            return;
        };
        if id.incarnation < member.incarnation {
            return;
        }
        member.heard_ms = now_ms;
        let same_process = id.incarnation == member.incarnation;
        // A goodbye or an announced stop is final for its process.
        let state = if same_process {
            final_state(member.state, state)
        } else {
            state
        };
        let changed = !same_process || member.state != state;
        member.incarnation = id.incarnation;
        member.state = state;
        self.spread(id.clone(), state, changed);
    }

    /// A heartbeat, or the answer to one, arrived.
    pub fn heartbeat(&mut self, from: &InstanceId, beat: &Heartbeat, now_ms: u64) {
        self.introduce(&beat.sender, now_ms);
        self.heard(from, beat.sender.leaving, now_ms);
        if let Some(member) = self.members.get_mut(&from.name) {
            member.reaches_store = beat.reaches_store;
            member.config_revision = member.config_revision.max(beat.freshness.revision);
        }
        for rumour in &beat.rumours {
            self.rumour(rumour, now_ms);
        }
    }

    /// The process of an instance does not exist: its address refuses connections.
    pub fn refused(&mut self, name: &str) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        if matches!(member.state, State::Alive | State::Leaving) {
            let id = InstanceId::new(member.listed.name.clone(), member.incarnation);
            self.set_state(&id, State::Silent);
        }
    }

    /// An instance said goodbye.
    pub fn goodbye(&mut self, id: &InstanceId) {
        self.set_state(id, State::Gone);
    }

    /// A peer passed on what it knows.
    pub fn rumour(&mut self, rumour: &Rumour, now_ms: u64) {
        let Some(member) = self.members.get(&rumour.id.name) else {
            return;
        };
        if rumour.id.incarnation < member.incarnation {
            return;
        }
        let own_news = now_ms < member.heard_ms + self.settings.peer_timeout_ms;
        let newer = rumour.id.incarnation > member.incarnation;
        match rumour.state {
            // What this instance hears itself is worth more than what others do not hear.
            State::Silent if own_news && !newer => {}
            State::Alive if !newer && member.state != State::Silent => {}
            state => self.set_state(&rumour.id, state),
        }
    }

    /// Time has passed: watched instances that were not heard in time count as silent.
    pub fn tick(&mut self, now_ms: u64) {
        let timeout_ms = self.settings.peer_timeout_ms;
        for name in self.watched() {
            let Some(member) = self.members.get(&name) else {
                continue;
            };
            let since_ms = member.heard_ms.max(member.watched_since_ms);
            let silent = now_ms >= since_ms + timeout_ms;
            if silent && matches!(member.state, State::Alive | State::Leaving) {
                let id = InstanceId::new(name, member.incarnation);
                self.set_state(&id, State::Silent);
            }
        }
    }

    /// Names of the peers to which this instance sends heartbeats: its successors on the ring.
    pub fn watched(&self) -> Vec<Name> {
        let after = self.members.range::<Name, _>((
            std::ops::Bound::Excluded(&self.me.name),
            std::ops::Bound::Unbounded,
        ));
        let before = self.members.range::<Name, _>(..&self.me.name);
        after
            .chain(before)
            .take(MAX_WATCHED)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Rumours for the next heartbeat. Each is sent often enough to reach all with the bounded
    /// number of targets: a few times the logarithm of the number of members.
    pub fn take_rumours(&mut self) -> Vec<Rumour> {
        let sends = 3 * (self.members.len().max(2).ilog2() as usize + 1);
        let start = self.rumours.len().saturating_sub(MAX_RUMOURS);
        let taken = self.rumours[start..].iter_mut().map(|(rumour, sent)| {
            *sent += 1;
            rumour.clone()
        });
        let taken = taken.collect();
        self.rumours.retain(|(_, sent)| *sent < sends);
        taken
    }

    /// Peers that are alive and not leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state == State::Alive)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member of that name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Whether a process is certainly gone: it said goodbye, a later process of its instance was
    /// heard, or the platform no longer lists it and nobody hears it.
    pub fn is_gone(&self, id: &InstanceId) -> bool {
        match self.members.get(&id.name) {
            None => id.name != self.me.name,
            Some(member) if member.incarnation > id.incarnation => true,
            Some(member) => member.incarnation == id.incarnation && member.state == State::Gone,
        }
    }

    /// Whether more than half of all instances, this one included, are heard.
    pub fn hears_majority(&self) -> bool {
        let gone = |member: &&Member| member.state == State::Gone;
        let all = self.members.len() + 1 - self.members.values().filter(gone).count();
        let silent = self
            .members
            .values()
            .filter(|member| member.state == State::Silent)
            .count();
        2 * (all - silent) > all
    }

    /// Instances that may own backend servers, this one included unless it is `leaving`.
    pub fn candidates(&self, leaving: bool) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .live()
            .map(|member| candidate(&member.listed))
            .collect();
        if !leaving {
            candidates.push(candidate(&self.me));
        }
        candidates
    }

    /// Names of the instances that may hold a role which needs the platform's store: those that
    /// reach it, or all if none is known to. `reaches_store` tells it of this instance.
    pub fn store_candidates(&self, leaving: bool, reaches_store: bool) -> Vec<Name> {
        let own = (!leaving).then(|| (self.me.name.clone(), reaches_store));
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

    /// Processes that answer and take new work, without this one.
    pub fn processes(&self) -> impl Iterator<Item = InstanceId> {
        let live = self.live().filter(|member| member.incarnation > 0);
        live.map(|member| InstanceId::new(member.listed.name.clone(), member.incarnation))
    }

    /// Number of the current view; another one means that the candidates may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn add(&mut self, listed: Listed, now_ms: u64) -> bool {
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
            // An instance is a candidate only once it was heard.
            state: State::Silent,
            heard_ms: 0,
            watched_since_ms: now_ms,
        };
        self.members.insert(listed.name, member);
        true
    }

    /// Adds an instance that the list does not show yet.
    fn introduce(&mut self, sender: &Listed, now_ms: u64) {
        let known = sender.name == self.me.name || self.members.contains_key(&sender.name);
        if !known {
            self.add(sender.clone(), now_ms);
        }
    }

    fn set_state(&mut self, id: &InstanceId, state: State) {
        let Some(member) = self.members.get_mut(&id.name) else {
            return;
        };
        if id.incarnation < member.incarnation {
            return;
        }
        let changed = member.incarnation != id.incarnation || member.state != state;
        member.incarnation = id.incarnation;
        member.state = state;
        self.spread(id.clone(), state, changed);
    }

    fn spread(&mut self, id: InstanceId, state: State, changed: bool) {
        if changed {
            self.rumours.retain(|(rumour, _)| rumour.id.name != id.name);
            self.rumours.push((Rumour { id, state }, 0));
        }
        self.bump(changed);
    }

    fn bump(&mut self, changed: bool) {
        self.version += u64::from(changed);
    }
}

fn candidate(listed: &Listed) -> Candidate {
    Candidate {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
    }
}

fn final_state(known: State, heard: State) -> State {
    match (known, heard) {
        (State::Gone, _) => State::Gone,
        (State::Leaving, State::Alive) => State::Leaving,
        (_, heard) => heard,
    }
}
