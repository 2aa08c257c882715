//! The instances that the placer hears.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mimosabay_core::name::Name;
use mimosabay_peer::Members;

/// Time after which an instance that is not heard is left out, in milliseconds.
const FORGET_AFTER_MS: u64 = 3_000;

/// The instances, as the placer hears them or as it told this instance.
#[derive(Default)]
pub(crate) struct MemberList {
    /// When each was last heard, in milliseconds, while this process is the placer.
    last_seen_ms: Mutex<BTreeMap<Name, u64>>,
    /// What the placer told.
    received: Mutex<ReceivedList>,
}

#[derive(Clone, Default)]
struct ReceivedList {
    version: u64,
    addresses: Vec<Name>,
}

impl MemberList {
    /// An instance has told the placer that it lives.
    pub(crate) fn record_contact(&self, address: &Name, now_ms: u64) {
        let mut last_seen_ms = self.last_seen_ms.lock().expect("members lock");
        last_seen_ms.insert(address.clone(), now_ms);
        last_seen_ms.retain(|_, seen_ms| now_ms.saturating_sub(*seen_ms) <= FORGET_AFTER_MS);
    }

    /// The list for an instance that knows another version of it.
    pub(crate) fn changes_since(&self, known_version: u64) -> Option<Members> {
        let last_seen_ms = self.last_seen_ms.lock().expect("members lock");
        let addresses: Vec<Name> = last_seen_ms.keys().cloned().collect();
        let version = version_of(&addresses);
        (version != known_version).then_some(Members { version, addresses })
    }

    /// Takes over what the placer told.
    pub(crate) fn apply(&self, members: Members) {
        *self.received.lock().expect("members lock") = ReceivedList {
            version: members.version,
            addresses: members.addresses,
        };
    }

    /// Version of the list that is known.
    pub(crate) fn version(&self) -> u64 {
        self.received.lock().expect("members lock").version
    }

    /// Number of instances that the placer told of.
    pub(crate) fn count(&self) -> usize {
        self.received.lock().expect("members lock").addresses.len()
    }

    /// The instances that the placer told of.
    pub(crate) fn addresses(&self) -> Vec<Name> {
        self.received
            .lock()
            .expect("members lock")
            .addresses
            .clone()
    }
}

/// Two lists with the same instances have the same version.
fn version_of(addresses: &[Name]) -> u64 {
    let mut hash = 1_u64;
    for address in addresses {
        hash = mimosabay_core::rendezvous::weight(address, &hash.to_string());
    }
    hash
}
