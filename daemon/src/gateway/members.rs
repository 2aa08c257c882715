//! List of the live instances, which the placer keeps.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mimosabay_core::name::Name;
use mimosabay_peer::Members;

/// Time without contact after which an instance is removed from the list, in milliseconds.
const FORGET_AFTER_MS: u64 = 3_000;

/// Time between two searches for instances without contact, in milliseconds.
const FORGET_PERIOD_MS: u64 = 250;

/// The instances, as recorded by the placer in this process and as received from the placer.
#[derive(Default)]
pub(crate) struct MemberList {
    /// The instances in contact with this process while it is the placer.
    contacts: Mutex<Contacts>,
    /// The list received from the placer.
    received: Mutex<ReceivedList>,
}

#[derive(Default)]
struct Contacts {
    /// Time of the last contact with each instance, in milliseconds.
    last_seen_ms: BTreeMap<Name, u64>,
    /// Version of the list of these instances.
    version: u64,
    /// When instances without contact are searched for next, in milliseconds.
    forget_due_ms: u64,
}

impl Contacts {
    fn record(&mut self, address: &Name, now_ms: u64) {
        let instances = self.last_seen_ms.len();
        match self.last_seen_ms.get_mut(address) {
            Some(seen_ms) => *seen_ms = now_ms,
            None => {
                self.last_seen_ms.insert(address.clone(), now_ms);
            }
        }
        let is_new = self.last_seen_ms.len() != instances;
        if self.forget(now_ms) || is_new {
            self.version = version_of(self.last_seen_ms.keys());
        }
    }

    /// Removes instances without contact; returns whether there were any.
    fn forget(&mut self, now_ms: u64) -> bool {
        if now_ms < self.forget_due_ms {
            return false;
        }
        self.forget_due_ms = now_ms + FORGET_PERIOD_MS;
        let instances = self.last_seen_ms.len();
        self.last_seen_ms
            .retain(|_, seen_ms| now_ms.saturating_sub(*seen_ms) <= FORGET_AFTER_MS);
        self.last_seen_ms.len() != instances
    }
}

#[derive(Clone, Default)]
struct ReceivedList {
    version: u64,
    addresses: Vec<Name>,
}

impl MemberList {
    /// Records that an instance has contacted the placer in this process.
    pub(crate) fn record_contact(&self, address: &Name, now_ms: u64) {
        let mut contacts = self.contacts.lock().expect("members lock");
        contacts.record(address, now_ms);
    }

    /// Returns the addresses of the instances that are in contact with the placer in this process.
    pub(crate) fn in_contact(&self) -> Vec<Name> {
        let contacts = self.contacts.lock().expect("members lock");
        contacts.last_seen_ms.keys().cloned().collect()
    }

    /// Returns the list for an instance that knows another version of it.
    pub(crate) fn changes_since(&self, known_version: u64) -> Option<Members> {
        let contacts = self.contacts.lock().expect("members lock");
        (contacts.version != known_version).then(|| Members {
            version: contacts.version,
            addresses: contacts.last_seen_ms.keys().cloned().collect(),
        })
    }

    /// Replaces the received list.
    pub(crate) fn apply(&self, members: Members) {
        *self.received.lock().expect("members lock") = ReceivedList {
            version: members.version,
            addresses: members.addresses,
        };
    }

    /// Version of the received list.
    pub(crate) fn version(&self) -> u64 {
        self.received.lock().expect("members lock").version
    }

    /// Number of instances in the received list.
    pub(crate) fn count(&self) -> usize {
        self.received.lock().expect("members lock").addresses.len()
    }

    /// Addresses of the instances in the received list.
    pub(crate) fn addresses(&self) -> Vec<Name> {
        self.received
            .lock()
            .expect("members lock")
            .addresses
            .clone()
    }
}

/// Two lists with the same instances have the same version.
fn version_of<'a>(addresses: impl Iterator<Item = &'a Name>) -> u64 {
    let mut hash = 1_u64;
    for address in addresses {
        hash = mimosabay_core::rendezvous::weight(address, &hash.to_string());
    }
    hash
}
