//! Gossip membership converges, at a cost per instance that does not grow with their number.

use std::collections::BTreeSet;

use mimosabay_core::freshness::PeerFreshness;
use mimosabay_core::membership::{
    Heartbeat, ListedInstance, MAX_WATCHED, MemberState, Membership, MembershipSettings,
};
use mimosabay_core::name::InstanceId;
use mimosabay_core::ownership;

const HEARTBEAT_MS: u64 = 250;
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Simulates instances that exchange heartbeats in virtual time.
struct Site {
    members: Vec<Membership>,
    dead: BTreeSet<usize>,
    now_ms: u64,
}

fn listed(index: usize) -> ListedInstance {
    ListedInstance {
        name: format!("instance-{index:04}").into(),
        peer_address: format!("127.0.0.1:{index}").into(),
        zone: format!("zone-{}", index % 3).into(),
        leaving: false,
    }
}

fn id(index: usize) -> InstanceId {
    InstanceId::new(listed(index).name, 1)
}

fn index(name: &str) -> usize {
    let (_, number) = name.rsplit_once('-').expect("names end in a number");
    number.parse().expect("names end in a number")
}

impl Site {
    fn new(count: usize) -> Self {
        let settings = MembershipSettings {
            peer_timeout_ms: PEER_TIMEOUT_MS,
        };
        let mut members: Vec<_> = (0..count)
            .map(|index| Membership::new(listed(index), settings))
            .collect();
        for member in &mut members {
            member.set_list((0..count).map(listed), 0);
        }
        Self {
            members,
            dead: BTreeSet::new(),
            now_ms: 0,
        }
    }

    fn exchange_heartbeats(&mut self) {
        self.now_ms += HEARTBEAT_MS;
        for from in 0..self.members.len() {
            if self.dead.contains(&from) {
                continue;
            }
            let beat = self.heartbeat(from);
            for name in self.members[from].watched() {
                let to = index(&name);
                if self.dead.contains(&to) {
                    continue;
                }
                self.members[to].on_heartbeat(&id(from), &beat, self.now_ms);
                let answer = self.heartbeat(to);
                self.members[from].on_heartbeat(&id(to), &answer, self.now_ms);
            }
            self.members[from].tick(self.now_ms);
        }
    }

    fn heartbeat(&mut self, from: usize) -> Heartbeat {
        let member = &mut self.members[from];
        Heartbeat {
            sender: member.own_listing(false),
            reaches_store: true,
            freshness: PeerFreshness {
                revision: 0,
                age_ms: None,
            },
            config_digest: 0,
            updates: member.take_updates(),
            digests: Vec::new(),
        }
    }

    fn all_agree(&self, live: usize) -> bool {
        let running = (0..self.members.len()).filter(|index| !self.dead.contains(index));
        running
            .clone()
            .all(|index| self.members[index].candidates(false).len() == live)
    }

    /// Exchanges heartbeats until all instances agree; returns the number of rounds.
    fn converge(&mut self, live: usize) -> usize {
        const MAX_ROUNDS: usize = 200;
        let rounds = (1..=MAX_ROUNDS).find(|_| {
            self.exchange_heartbeats();
            self.all_agree(live)
        });
        rounds.expect("the member lists converge")
    }
}

fn converges(count: usize, max_rounds: usize) {
    let mut site = Site::new(count);
    site.converge(count);
    site.dead.insert(count / 2);
    let rounds = site.converge(count - 1);
    assert!(
        rounds <= max_rounds,
        "{rounds} rounds to agree that an instance is dead"
    );
}

mimosabay_core::cases! {
    converges;
    two: (2, 6);
    seven: (7, 6);
    sixty_five: (65, 16);
    three_hundred: (300, 50);
}

#[test]
fn heartbeats_per_instance_are_bounded() {
    for count in [2, 7, 65, 300] {
        let site = Site::new(count);
        let most = site
            .members
            .iter()
            .map(|member| member.watched().len())
            .max();
        assert!(most <= Some(MAX_WATCHED));
    }
}

#[test]
fn all_choose_the_same_owner_after_an_instance_dies() {
    let mut site = Site::new(7);
    site.converge(7);
    site.dead.insert(3);
    site.converge(6);
    for server in ["engine-1", "engine-2", "engine-3"] {
        let owners: BTreeSet<_> = (0..7)
            .filter(|index| *index != 3)
            .map(|index| {
                let candidates = site.members[index].candidates(false);
                ownership::owner(server, "zone-1", &candidates).cloned()
            })
            .collect();
        assert_eq!(owners.len(), 1);
    }
}

#[test]
fn heartbeat_of_an_unlisted_instance_adds_it() {
    let mut site = Site::new(2);
    let settings = MembershipSettings {
        peer_timeout_ms: PEER_TIMEOUT_MS,
    };
    let joiner = Membership::new(listed(7), settings);
    let beat = Heartbeat {
        sender: joiner.own_listing(false),
        reaches_store: true,
        freshness: PeerFreshness {
            revision: 0,
            age_ms: None,
        },
        config_digest: 0,
        updates: Vec::new(),
        digests: Vec::new(),
    };
    site.members[0].on_heartbeat(&id(7), &beat, 10);
    assert!(
        site.members[0]
            .live()
            .any(|member| member.listed.name == listed(7).name)
    );
}

#[test]
fn leave_notice_is_final_for_its_process_only() {
    let mut site = Site::new(2);
    site.converge(2);
    let beat = site.heartbeat(1);
    let watcher = &mut site.members[0];
    watcher.on_leave(&id(1));
    watcher.on_heartbeat(&id(1), &beat, 500);
    assert_eq!(
        watcher.member(&listed(1).name).map(|member| member.state),
        Some(MemberState::Terminated)
    );
    assert!(watcher.has_terminated(&id(1)));
    let next = InstanceId::new(listed(1).name, 2);
    watcher.on_heartbeat(&next, &beat, 600);
    assert_eq!(watcher.live().count(), 1);
    assert!(watcher.has_terminated(&id(1)));
    assert!(!watcher.has_terminated(&next));
}

#[test]
fn unresponsive_process_has_not_certainly_terminated() {
    let mut site = Site::new(7);
    site.converge(7);
    site.dead.insert(3);
    site.converge(6);
    assert!(
        site.members
            .iter()
            .all(|member| !member.has_terminated(&id(3)))
    );
}
