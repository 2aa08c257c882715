//! The roster: the processes that hold an own share of every budget.
//!
//! The roster is one object of the store, changed by conditional updates, so its versions form one
//! linear history. A process uses only what is allowed by every version that some member may still
//! act on. Two processes with different knowledge therefore always have one version in common, and
//! the shares of one version add up to one.

use crate::name::InstanceId;

crate::record! {
    /// A member of the roster.
    pub struct RosterMember {
        /// The process identified by instance name and incarnation.
        pub id: InstanceId,
        /// First version that contains the process.
        pub joined_version: u64,
        /// Largest version that the process acts on. Invariant: never decreases, and nothing lent
        /// under an older version exceeds what this one allows.
        pub confirmed_version: u64,
    }

    /// Number of members in a version.
    #[derive(Copy)]
    pub struct RosterSize {
        /// The roster version.
        pub version: u64,
        /// Number of members in that version.
        pub members: u32,
    }

    /// The members and the versions that they have confirmed.
    #[derive(Default)]
    pub struct Roster {
        /// Grows by one with each change of membership; a confirmation leaves it unchanged.
        pub version: u64,
        /// Last version that removed a member.
        pub removed_version: u64,
        /// The current members.
        pub members: Vec<RosterMember>,
        /// Sizes of all versions that some member may still act on, oldest first.
        pub sizes: Vec<RosterSize>,
        /// Whether the site starts for the first time and its first members are still joining. No
        /// member has a share meanwhile, so nothing of any budget has been used.
        #[serde(default, rename = "is_founding")]
        pub is_bootstrapping: bool,
        /// Members present when the bootstrap finished. They hold the whole burst between them.
        #[serde(default, rename = "founders")]
        pub bootstrap_members: Vec<InstanceId>,
    }
}

impl Roster {
    /// Creates the roster of a site that starts for the first time.
    pub fn bootstrapping() -> Self {
        Self {
            is_bootstrapping: true,
            ..Self::default()
        }
    }

    /// Ends the bootstrap; `None` if it has already ended.
    #[must_use]
    pub fn finish_bootstrap(&self) -> Option<Self> {
        if !self.is_bootstrapping {
            return None;
        }
        let mut next = self.clone();
        next.version += 1;
        next.is_bootstrapping = false;
        next.bootstrap_members = next
            .members
            .iter()
            .map(|member| member.id.clone())
            .collect();
        Some(next.with_change_recorded(false))
    }

    /// Fraction of the burst that `id` holds from the bootstrap on; 0 if it joined later.
    pub fn initial_share(&self, id: &InstanceId) -> f64 {
        if self.bootstrap_members.contains(id) {
            1.0 / self.bootstrap_members.len() as f64
        } else {
            0.0
        }
    }

    /// Adds `id` and removes earlier processes of the same instance; `None` if nothing changes.
    #[must_use]
    pub fn join(&self, id: &InstanceId) -> Option<Self> {
        if self.member(id).is_some() {
            return None;
        }
        let mut next = self.clone();
        next.members
            .retain(|member| member.id.name != id.name || member.id.incarnation > id.incarnation);
        let removes_earlier = next.members.len() < self.members.len();
        next.version += 1;
        next.members.push(RosterMember {
            id: id.clone(),
            joined_version: next.version,
            confirmed_version: self.version,
        });
        Some(next.with_change_recorded(removes_earlier))
    }

    /// Removes members that have certainly terminated; `None` if nothing changes.
    #[must_use]
    pub fn remove(&self, has_terminated: impl Fn(&InstanceId) -> bool) -> Option<Self> {
        let mut next = self.clone();
        next.members.retain(|member| !has_terminated(&member.id));
        if next.members.len() == self.members.len() {
            return None;
        }
        next.version += 1;
        Some(next.with_change_recorded(true))
    }

    /// Records that `id` acts on `version`; `None` if nothing changes.
    #[must_use]
    pub fn confirm(&self, id: &InstanceId, version: u64) -> Option<Self> {
        let mut next = self.clone();
        let member = next.members.iter_mut().find(|member| member.id == *id)?;
        if member.confirmed_version >= version || version > self.version {
            return None;
        }
        member.confirmed_version = version;
        next.drop_old_sizes();
        Some(next)
    }

    /// Returns the member `id`.
    pub fn member(&self, id: &InstanceId) -> Option<&RosterMember> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Share of every budget that `id` may use, as a fraction of 1.
    ///
    /// It is 0 until every member has confirmed a version that contains `id`, and during the
    /// bootstrap.
    pub fn share_of(&self, id: &InstanceId) -> f64 {
        let Some(member) = self.member(id) else {
            return 0.0;
        };
        if self.is_bootstrapping || member.joined_version > self.oldest_version_in_use() {
            return 0.0;
        }
        let largest = self.sizes.iter().map(|size| size.members).max();
        1.0 / f64::from(largest.unwrap_or(1).max(1))
    }

    /// The oldest version that some member may still act on.
    pub fn oldest_version_in_use(&self) -> u64 {
        let confirmed = self.members.iter().map(|member| member.confirmed_version);
        confirmed.min().unwrap_or(self.version)
    }

    fn with_change_recorded(mut self, removed: bool) -> Self {
        if removed {
            self.removed_version = self.version;
        }
        self.sizes.push(RosterSize {
            version: self.version,
            members: u32::try_from(self.members.len()).unwrap_or(u32::MAX),
        });
        self.drop_old_sizes();
        self
    }

    fn drop_old_sizes(&mut self) {
        let oldest = self.oldest_version_in_use();
        self.sizes.retain(|size| size.version >= oldest);
    }
}
