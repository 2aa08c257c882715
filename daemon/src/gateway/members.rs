//! List of the live instances, which the placer keeps.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mimosabay_core::name::Name;
use mimosabay_core::placer_machine::Processor;
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
    instances: BTreeMap<Name, Contact>,
    /// Largest processor time of the other instances.
    largest: Processor,
    /// Version of the list of these instances.
    version: u64,
    /// When instances without contact are searched for next, in milliseconds.
    forget_due_ms: u64,
}

/// The last contact with an instance.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Its time, in milliseconds.
    seen_ms: u64,
    /// Processor time of the instance's machine. That of this process counts as unknown, as it does not
    /// hand over to itself.
    processor: Processor,
}

impl Contacts {
    fn record(&mut self, address: &Name, contact: Contact) {
        let before = self.instances.get_mut(address);
        let is_known = before.is_some();
        match before {
            Some(known) => *known = contact,
            None => {
                self.instances.insert(address.clone(), contact);
            }
        }
        if self.forget(contact.seen_ms) || !is_known {
            let instances = self.instances.values();
            let largest = instances.map(|contact| contact.processor).max();
            self.largest = largest.unwrap_or_default();
            self.version = version_of(self.instances.keys());
        }
    }

    /// Removes instances without contact; returns whether there were any.
    fn forget(&mut self, now_ms: u64) -> bool {
        if now_ms < self.forget_due_ms {
            return false;
        }
        self.forget_due_ms = now_ms + FORGET_PERIOD_MS;
        let instances = self.instances.len();
        self.instances
            .retain(|_, contact| now_ms.saturating_sub(contact.seen_ms) <= FORGET_AFTER_MS);
        self.instances.len() != instances
    }
}

#[derive(Clone, Default)]
struct ReceivedList {
    version: u64,
    addresses: Vec<Name>,
    /// Largest processor time of other machines than the placer's.
    largest: Processor,
}

impl MemberList {
    /// Records that an instance on a machine with this processor time has contacted the placer in this
    /// process.
    pub(crate) fn record_contact(&self, address: &Name, processor: Processor, now_ms: u64) {
        let contact = Contact {
            seen_ms: now_ms,
            processor,
        };
        let mut contacts = self.contacts.lock().expect("members lock");
        contacts.record(address, contact);
    }

    /// Records that the placer in this process is there.
    pub(crate) fn record_own_contact(&self, address: &Name, now_ms: u64) {
        self.record_contact(address, Processor::default(), now_ms);
    }

    /// Largest processor time of the machines of instances in contact with the placer in this process,
    /// without its own.
    pub(crate) fn largest_processor(&self) -> Processor {
        self.contacts.lock().expect("members lock").largest
    }

    /// Records the largest processor time of other machines than the placer's, which the placer has sent.
    pub(crate) fn set_largest_received(&self, largest: Processor) {
        self.received.lock().expect("members lock").largest = largest;
    }

    /// Largest processor time of other machines than the placer's, as the placer has sent it.
    pub(crate) fn largest_received(&self) -> Processor {
        self.received.lock().expect("members lock").largest
    }

    /// Returns the addresses of the instances that are in contact with the placer in this process.
    pub(crate) fn in_contact(&self) -> Vec<Name> {
        let contacts = self.contacts.lock().expect("members lock");
        contacts.instances.keys().cloned().collect()
    }

    /// Returns the list for an instance that knows another version of it.
    pub(crate) fn changes_since(&self, known_version: u64) -> Option<Members> {
        let contacts = self.contacts.lock().expect("members lock");
        (contacts.version != known_version).then(|| Members {
            version: contacts.version,
            addresses: contacts.instances.keys().cloned().collect(),
        })
    }

    /// Replaces the received list.
    pub(crate) fn apply(&self, members: Members) {
        let mut received = self.received.lock().expect("members lock");
        received.version = members.version;
        received.addresses = members.addresses;
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
