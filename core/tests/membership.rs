//! Instances find out who is alive, at a cost per instance that does not grow with their number.

use std::collections::BTreeSet;

use mimosabay_core::freshness::PeerFreshness;
use mimosabay_core::membership::{
    Heartbeat, Listed, MAX_WATCHED, Membership, MembershipSettings, State,
};
use mimosabay_core::name::InstanceId;
use mimosabay_core::ownership;

const BEAT_MS: u64 = 250;
const TIMEOUT_MS: u64 = 1_000;

/// Instances that exchange heartbeats in virtual time.
struct Site {
    members: Vec<Membership>,
    dead: BTreeSet<usize>,
    now_ms: u64,
}

fn listed(index: usize) -> Listed {
    Listed {
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
            peer_timeout_ms: TIMEOUT_MS,
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

    fn beat(&mut self) {
        self.now_ms += BEAT_MS;
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
                self.members[to].heartbeat(&id(from), &beat, self.now_ms);
                let answer = self.heartbeat(to);
                self.members[from].heartbeat(&id(to), &answer, self.now_ms);
            }
            self.members[from].tick(self.now_ms);
        }
    }

    fn heartbeat(&mut self, from: usize) -> Heartbeat {
        let member = &mut self.members[from];
        Heartbeat {
            sender: member.me(false),
            freshness: PeerFreshness {
                revision: 0,
                age_ms: None,
            },
            rumours: member.take_rumours(),
        }
    }

    fn all_agree(&self, live: usize) -> bool {
        let alive = (0..self.members.len()).filter(|index| !self.dead.contains(index));
        alive
            .clone()
            .all(|index| self.members[index].candidates(false).len() == live)
    }

    /// Beats until all agree; returns how many that took.
    fn settle(&mut self, live: usize) -> usize {
        const MOST: usize = 200;
        let beats = (1..=MOST).find(|_| {
            self.beat();
            self.all_agree(live)
        });
        beats.expect("the views converge")
    }
}

fn converges(count: usize, most_beats: usize) {
    let mut site = Site::new(count);
    site.settle(count);
    site.dead.insert(count / 2);
    let beats = site.settle(count - 1);
    assert!(beats <= most_beats, "{beats} beats to agree on a death");
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
fn all_name_the_same_owner_after_a_death() {
    let mut site = Site::new(7);
    site.settle(7);
    site.dead.insert(3);
    site.settle(6);
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
fn an_instance_that_the_list_does_not_show_introduces_itself() {
    let mut site = Site::new(2);
    let settings = MembershipSettings {
        peer_timeout_ms: TIMEOUT_MS,
    };
    let joiner = Membership::new(listed(7), settings);
    let beat = Heartbeat {
        sender: joiner.me(false),
        freshness: PeerFreshness {
            revision: 0,
            age_ms: None,
        },
        rumours: Vec::new(),
    };
    site.members[0].heartbeat(&id(7), &beat, 10);
    assert!(
        site.members[0]
            .live()
            .any(|member| member.listed.name == listed(7).name)
    );
}

#[test]
fn a_goodbye_is_final_for_its_process_only() {
    let mut site = Site::new(2);
    site.settle(2);
    let beat = site.heartbeat(1);
    let watcher = &mut site.members[0];
    watcher.goodbye(&id(1));
    watcher.heartbeat(&id(1), &beat, 500);
    assert_eq!(
        watcher.member(&listed(1).name).map(|member| member.state),
        Some(State::Gone)
    );
    assert!(watcher.is_gone(&id(1)));
    let next = InstanceId::new(listed(1).name, 2);
    watcher.heartbeat(&next, &beat, 600);
    assert_eq!(watcher.live().count(), 1);
    assert!(watcher.is_gone(&id(1)));
    assert!(!watcher.is_gone(&next));
}

#[test]
fn a_silent_process_is_not_certainly_gone() {
    let mut site = Site::new(7);
    site.settle(7);
    site.dead.insert(3);
    site.settle(6);
    assert!(site.members.iter().all(|member| !member.is_gone(&id(3))));
}
