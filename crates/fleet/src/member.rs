//! The members of one data centre, and the rules for merging updates of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, VmName};

use crate::{
    ConfigStamp, MemberStatus, MemberUpdate, VmIdentity,
    hash::{bucket_of, entry_digest},
    message::LeaseHolder,
};

/// Number of buckets of the member digests.
pub(crate) const MEMBER_BUCKETS: usize = 16;

/// What this VM knows of one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) update: MemberUpdate,
    /// Time of the last change.
    pub(crate) changed_at: MonoTime,
    /// Since when the member has not been alive; `None` while it is alive.
    pub(crate) unavailable_since: Option<MonoTime>,
    /// Whether leases held by the member are trusted: false after a long unavailability, until the
    /// next repair.
    pub(crate) leases_trusted: bool,
    /// Configuration that the member reported last.
    pub(crate) config: ConfigStamp,
    /// Since when the answers of the member to probes have shown the same live members as this
    /// table.
    pub(crate) agreed_since: Option<MonoTime>,
}

impl MemberEntry {
    pub(crate) fn is_live(&self) -> bool {
        self.update.status <= MemberStatus::Suspect
    }

    fn digest(&self) -> u64 {
        if !self.is_live() {
            return 0;
        }
        let identity = &self.update.identity;
        entry_digest((&identity.name, identity.boot, self.update.incarnation))
    }
}

/// All known members, including this VM.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    own_name: VmName,
    entries: BTreeMap<VmName, MemberEntry>,
    live: Arc<[Arc<VmIdentity>]>,
    digest: u64,
    /// Number of changes of any kind; invalidates caches.
    generation: u64,
}

impl MemberTable {
    pub(crate) fn new(own: &MemberUpdate, now: MonoTime) -> Self {
        let mut table = Self {
            own_name: own.identity.name.clone(),
            entries: BTreeMap::new(),
            live: Arc::new([]),
            digest: 0,
            generation: 0,
        };
        table.merge(own, now);
        table
    }

    pub(crate) fn own(&self) -> &MemberEntry {
        &self.entries[&self.own_name]
    }

    pub(crate) fn get(&self, name: &VmName) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &VmName) -> Option<&mut MemberEntry> {
        self.entries.get_mut(name)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the live members in the order of their names, including this VM.
    pub(crate) fn live(&self) -> &Arc<[Arc<VmIdentity>]> {
        &self.live
    }

    /// Returns the live members without this VM.
    pub(crate) fn live_peers(&self) -> impl Iterator<Item = &Arc<VmIdentity>> {
        self.live.iter().filter(|peer| peer.name != self.own_name)
    }

    /// Returns the identity of the member `name`, if it is live.
    pub(crate) fn live_identity(&self, name: &VmName) -> Option<&Arc<VmIdentity>> {
        let entry = self.entries.get(name).filter(|entry| entry.is_live());
        entry.map(|entry| &entry.update.identity)
    }

    pub(crate) fn has_peers(&self) -> bool {
        self.live.len() > 1
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a counter that increases with every change of a status, an identity or the lease
    /// trust of a member.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the status of `holder`, and since when it has been unavailable.
    pub(crate) fn holder_status(&self, holder: &LeaseHolder) -> HolderStatus {
        let Some(entry) = self.entries.get(&holder.vm) else {
            return HolderStatus::Unknown;
        };
        if entry.update.identity.boot < holder.boot {
            return HolderStatus::Unknown;
        }
        if entry.update.identity.boot != holder.boot {
            return HolderStatus::UnavailableSince(entry.changed_at);
        }
        match entry.unavailable_since {
            Some(since) => HolderStatus::UnavailableSince(since),
            None if entry.leases_trusted => HolderStatus::Live,
            None => HolderStatus::Untrusted,
        }
    }

    /// Applies `update` if it is newer than the known update; returns whether it was.
    pub(crate) fn merge(&mut self, update: &MemberUpdate, now: MonoTime) -> bool {
        let known = self.entries.get(&update.identity.name);
        if known.is_some_and(|known| !is_newer(update, &known.update)) {
            return false;
        }
        let alive = update.status == MemberStatus::Alive;
        let same_boot =
            known.is_some_and(|known| known.update.identity.boot == update.identity.boot);
        let previous_since = known.and_then(|known| known.unavailable_since);
        let entry = MemberEntry {
            update: update.clone(),
            changed_at: now,
            unavailable_since: if alive {
                None
            } else {
                previous_since.or(Some(now))
            },
            leases_trusted: known.is_none_or(|known| known.leases_trusted || !same_boot),
            config: known
                .filter(|_| same_boot)
                .map(|known| known.config)
                .unwrap_or_default(),
            agreed_since: None,
        };
        self.digest ^= known.map_or(0, MemberEntry::digest) ^ entry.digest();
        self.entries.insert(update.identity.name.clone(), entry);
        self.generation += 1;
        self.rebuild_live();
        for entry in self.entries.values_mut() {
            entry.agreed_since = None;
        }
        true
    }

    /// Records whether the member `name` has just shown the same live members as this table.
    pub(crate) fn note_agreement(&mut self, name: &VmName, other_digest: u64, now: MonoTime) {
        let agrees = other_digest == self.digest;
        if let Some(entry) = self.entries.get_mut(name) {
            let since = entry.agreed_since.unwrap_or(now);
            entry.agreed_since = agrees.then_some(since);
        }
    }

    /// Returns since when all other members have agreed with this table, if all of them are alive
    /// and agree.
    pub(crate) fn agreed_since(&self) -> Option<MonoTime> {
        let others = self
            .entries
            .values()
            .filter(|entry| entry.update.identity.name != self.own_name)
            .filter(|entry| entry.update.status != MemberStatus::Left);
        let mut since = MonoTime::ZERO;
        for entry in others {
            if entry.update.status != MemberStatus::Alive {
                return None;
            }
            since = since.max(entry.agreed_since?);
        }
        Some(since)
    }

    /// Withdraws the lease trust of members that have not been alive for `grace`.
    pub(crate) fn withdraw_lease_trust(&mut self, grace: Duration, now: MonoTime) {
        for entry in self.entries.values_mut() {
            let long_unavailable = entry
                .unavailable_since
                .is_some_and(|since| now.since(since) >= grace);
            self.generation += u64::from(entry.leases_trusted && long_unavailable);
            entry.leases_trusted &= !long_unavailable;
        }
    }

    /// Restores the lease trust of all members that are alive, after a repair made the tables
    /// equal.
    pub(crate) fn restore_lease_trust(&mut self) {
        for entry in self.entries.values_mut() {
            let restored = !entry.leases_trusted && entry.unavailable_since.is_none();
            self.generation += u64::from(restored);
            entry.leases_trusted |= restored;
        }
    }

    /// Forgets dead and left members whose last change was at least `retention` ago.
    pub(crate) fn forget_removed(&mut self, retention: Duration, now: MonoTime) {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.is_live() || now.since(entry.changed_at) < retention);
        self.generation += u64::from(self.entries.len() < before);
    }

    pub(crate) fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; MEMBER_BUCKETS];
        for (name, entry) in &self.entries {
            digests[bucket_of(name, MEMBER_BUCKETS)] ^= entry.digest();
        }
        digests
    }

    pub(crate) fn in_buckets(&self, buckets: &[u32]) -> Vec<MemberUpdate> {
        self.entries
            .iter()
            .filter(|(name, _)| is_in_buckets(bucket_of(name, MEMBER_BUCKETS), buckets))
            .map(|(_, entry)| entry.update.clone())
            .collect()
    }

    fn rebuild_live(&mut self) {
        self.live = self
            .entries
            .values()
            .filter(|entry| entry.is_live())
            .map(|entry| Arc::clone(&entry.update.identity))
            .collect();
    }
}

/// Status of the process that holds a lease, as far as this VM knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HolderStatus {
    /// The holder is the running process of a member that is alive and trusted.
    Live,
    /// The holder stopped answering, left or restarted at this time.
    UnavailableSince(MonoTime),
    /// The holder is a process of which this VM has not received an update yet.
    Unknown,
    /// The holder returned after a long unavailability, and no repair has followed yet.
    Untrusted,
}

pub(crate) fn is_in_buckets(bucket: usize, buckets: &[u32]) -> bool {
    buckets
        .iter()
        .any(|listed| usize::try_from(*listed) == Ok(bucket))
}

/// Returns the indexes of the buckets whose digests differ.
pub(crate) fn differing_buckets(own: &[u64], other: &[u64]) -> Vec<u32> {
    let differing = own
        .iter()
        .zip(other)
        .enumerate()
        .filter(|(_, (a, b))| a != b);
    differing
        .filter_map(|(index, _)| u32::try_from(index).ok())
        .collect()
}

fn is_newer(update: &MemberUpdate, known: &MemberUpdate) -> bool {
    (update.incarnation, update.status) > (known.incarnation, known.status)
}
