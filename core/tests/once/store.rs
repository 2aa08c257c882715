//! Model of the store with versions, conditional writes and delayed calls.

use std::collections::BTreeMap;

use mimosabay_core::name::Name;
use mimosabay_core::once::{Archive, Head, JournalEntry, StoreCall, StoreFailure};

/// Answer of the store to a call.
#[derive(Clone, Debug)]
pub(crate) enum StoreAnswer {
    Head(Option<(u64, Head)>),
    Archive(Option<Archive>),
    Written(Result<u64, StoreFailure>),
}

#[derive(Default)]
pub(crate) struct Store {
    revision: u64,
    pub(crate) heads: BTreeMap<u32, (u64, Head)>,
    pub(crate) archives: BTreeMap<Name, Archive>,
    pub(crate) conflicts: u64,
    pub(crate) writes: u64,
}

impl Store {
    pub(crate) fn apply(&mut self, shard: u32, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::ReadHead => StoreAnswer::Head(self.heads.get(&shard).cloned()),
            StoreCall::ReadArchive { name } => {
                StoreAnswer::Archive(self.archives.get(name).cloned())
            }
            StoreCall::WriteHead { base_version, head } => {
                StoreAnswer::Written(self.write_head(shard, *base_version, head))
            }
            StoreCall::WriteArchive { name, archive } => {
                self.revision += 1;
                let old = self.archives.insert(name.clone(), archive.clone());
                assert!(old.is_none(), "archive {name} written twice");
                StoreAnswer::Written(Ok(self.revision))
            }
        }
    }

    pub(crate) fn delete_archive(&mut self, name: &Name) {
        for (_, head) in self.heads.values() {
            let referred = head.archives.iter().any(|archive| archive.name == *name);
            assert!(!referred, "archive {name} is in force");
        }
        self.archives.remove(name);
    }

    /// Returns all entries in the heads and in the archives that they refer to.
    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        let mut entries = Vec::new();
        for (_, head) in self.heads.values() {
            for archive in &head.archives {
                let archive = &self.archives[&archive.name];
                entries.extend(archive.entries.iter().cloned());
            }
            entries.extend(head.entries.iter().cloned());
        }
        entries
    }

    fn write_head(
        &mut self,
        shard: u32,
        base_version: Option<u64>,
        head: &Head,
    ) -> Result<u64, StoreFailure> {
        let version = self.heads.get(&shard).map(|(version, _)| *version);
        if version != base_version {
            self.conflicts += 1;
            return Err(StoreFailure::Conflict);
        }
        self.writes += 1;
        self.revision += 1;
        self.heads.insert(shard, (self.revision, head.clone()));
        Ok(self.revision)
    }
}
