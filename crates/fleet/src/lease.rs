//! The replicated table of targets: one last-writer-wins register per target, ordered by
//! incarnation and revision.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, ServiceName, TargetName, TargetRecord, TargetState, VmName};

use crate::{
    LeaseHolder, TargetChange, TargetLimits,
    hash::{bucket_of, entry_digest},
    member::{HolderStatus, MemberTable, is_in_buckets},
};

/// Number of buckets of the target digests.
pub(crate) const TARGET_BUCKETS: usize = 64;
/// Time for which the tombstone of a removed target is kept.
const TOMBSTONE_RETENTION_MS: u64 = 30_000;

/// Identifies a target within the fleet.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetKey {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Name of the target within the service.
    pub name: TargetName,
}

impl TargetKey {
    pub(crate) fn of(record: &TargetRecord) -> Self {
        Self {
            service: record.service.clone(),
            name: record.name.clone(),
        }
    }
}

/// What this VM knows of one target.
#[derive(Clone, Debug)]
pub(crate) struct LeaseEntry {
    pub(crate) change: TargetChange,
    /// When this VM received the change.
    pub(crate) changed_at: MonoTime,
    /// End of the lease, if the target announced itself here.
    pub(crate) lease_until: Option<MonoTime>,
    /// Last time that the target itself answered a request as serving.
    pub(crate) answered_at: Option<MonoTime>,
    /// Whether new requests may be sent to the target, as of the last review.
    pub(crate) usable: bool,
    /// Brokers of the target, as last computed.
    pub(crate) brokers: Arc<[VmName]>,
    /// Generation of the broker plan that `brokers` was computed from.
    pub(crate) brokers_generation: Option<u64>,
    /// Limits before the last announcement that changed them, and the time of the change.
    previous: Option<(TargetLimits, MonoTime)>,
    /// Since when the lease holder has not been live.
    orphaned_at: Option<MonoTime>,
}

impl LeaseEntry {
    /// Returns the previous limits, which other brokers may still use, if they changed less than
    /// `handover_delay` ago.
    pub(crate) fn previous_limits(
        &self,
        handover_delay: Duration,
        now: MonoTime,
    ) -> Option<TargetLimits> {
        let (limits, changed_at) = self.previous?;
        (now.since(changed_at) < handover_delay).then_some(limits)
    }

    fn digest(&self) -> u64 {
        let change = &self.change;
        if change.gone {
            return 0;
        }
        let record = &change.record;
        let number = (record.incarnation, change.revision);
        entry_digest((&record.service, &record.name, number, &change.holder))
    }
}

/// Timeouts that decide whether a target is usable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTimes {
    pub(crate) lease: Duration,
    pub(crate) holder_grace: Duration,
    pub(crate) orphan_retention: Duration,
}

/// Result of a review of all leases.
#[derive(Debug, Default)]
pub(crate) struct LeaseReview {
    /// Whether any target became usable or unusable, or was removed.
    pub(crate) changed: bool,
    /// Targets whose lease from this VM lapsed.
    pub(crate) lapsed: Vec<TargetKey>,
    /// When a timeout may next change the result.
    pub(crate) next_at: Option<MonoTime>,
}

impl LeaseReview {
    fn schedule_review(&mut self, at: MonoTime) {
        self.next_at = Some(self.next_at.map_or(at, |next| next.min(at)));
    }
}

/// All known targets of the data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    entries: BTreeMap<TargetKey, LeaseEntry>,
    digest: u64,
}

impl LeaseTable {
    pub(crate) fn get(&self, key: &TargetKey) -> Option<&LeaseEntry> {
        self.entries.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &TargetKey) -> Option<&mut LeaseEntry> {
        self.entries.get_mut(key)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&TargetKey, &LeaseEntry)> {
        self.entries.iter()
    }

    pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = (&TargetKey, &mut LeaseEntry)> {
        self.entries.iter_mut()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies `change` if it is newer than the known change; returns whether it was.
    ///
    /// An unknown target is not added if its holder is not `live`. Otherwise, VMs that have
    /// forgotten such a target would keep receiving it from each other and adding it again.
    pub(crate) fn merge(&mut self, change: &TargetChange, live: bool, now: MonoTime) -> bool {
        let key = TargetKey::of(&change.record);
        let known = self.entries.get(&key);
        let newer = known.map_or(live || change.gone, |known| is_newer(change, &known.change));
        if !newer {
            return false;
        }
        let same = known.filter(|known| {
            known.change.record.incarnation == change.record.incarnation && !known.change.gone
        });
        let entry = LeaseEntry {
            change: change.clone(),
            changed_at: now,
            lease_until: same.and_then(|known| known.lease_until),
            answered_at: same.and_then(|known| known.answered_at),
            usable: known.is_some_and(|known| known.usable),
            brokers: Arc::default(),
            brokers_generation: None,
            previous: same.and_then(|known| previous_limits(known, change, now)),
            orphaned_at: None,
        };
        self.digest ^= known.map_or(0, LeaseEntry::digest) ^ entry.digest();
        self.entries.insert(key, entry);
        true
    }

    /// Updates which targets are usable, finds lapsed leases, and removes orphans and tombstones.
    pub(crate) fn review(
        &mut self,
        members: &MemberTable,
        isolated: bool,
        times: LeaseTimes,
        now: MonoTime,
    ) -> LeaseReview {
        let own = own_holder(members);
        let mut review = LeaseReview::default();
        let mut forgotten = Vec::new();
        for (key, entry) in &mut self.entries {
            if entry.lease_until.is_some_and(|until| now >= until) {
                entry.lease_until = None;
            }
            let own_lapsed = entry.change.holder == own && entry.lease_until.is_none();
            if own_lapsed && !entry.change.gone {
                review.lapsed.push(key.clone());
            }
            let status = members.holder_status(&entry.change.holder);
            let usable = is_usable(entry, status, own_lapsed, isolated, times, now);
            review.changed |= usable != entry.usable;
            entry.usable = usable;
            if should_forget(entry, status, times, now) {
                forgotten.push(key.clone());
            }
            for at in next_review_times(entry, status, times) {
                if at > now {
                    review.schedule_review(at);
                }
            }
        }
        for key in forgotten {
            if let Some(entry) = self.entries.remove(&key) {
                self.digest ^= entry.digest();
                review.changed = true;
            }
        }
        review
    }

    pub(crate) fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; TARGET_BUCKETS];
        for (key, entry) in &self.entries {
            digests[bucket_of(key, TARGET_BUCKETS)] ^= entry.digest();
        }
        digests
    }

    pub(crate) fn in_buckets(&self, buckets: &[u32]) -> Vec<TargetChange> {
        self.entries
            .iter()
            .filter(|(key, _)| is_in_buckets(bucket_of(key, TARGET_BUCKETS), buckets))
            .map(|(_, entry)| entry.change.clone())
            .collect()
    }
}

fn previous_limits(
    known: &LeaseEntry,
    change: &TargetChange,
    now: MonoTime,
) -> Option<(TargetLimits, MonoTime)> {
    let before = TargetLimits::of(&known.change.record);
    if before == TargetLimits::of(&change.record) {
        return known.previous;
    }
    Some((before, now))
}

/// Returns the lease holder that stands for this process.
pub(crate) fn own_holder(members: &MemberTable) -> LeaseHolder {
    let identity = &members.own().update.identity;
    LeaseHolder {
        vm: identity.name.clone(),
        boot: identity.boot,
    }
}

fn is_usable(
    entry: &LeaseEntry,
    status: HolderStatus,
    own_lapsed: bool,
    isolated: bool,
    times: LeaseTimes,
    now: MonoTime,
) -> bool {
    if entry.change.gone || entry.change.record.state != TargetState::Serving {
        return false;
    }
    let announced_here = entry.lease_until.is_some();
    let answered = entry
        .answered_at
        .is_some_and(|at| now.since(at) < times.lease);
    if announced_here || answered {
        return true;
    }
    let confirmed = match status {
        HolderStatus::Live => true,
        HolderStatus::UnavailableSince(since) => now.since(since) < times.holder_grace,
        HolderStatus::Unknown => now.since(entry.changed_at) < times.holder_grace,
        HolderStatus::Untrusted => false,
    };
    confirmed && !isolated && !own_lapsed
}

/// Returns the times at which a timeout may change whether the target is usable or kept.
fn next_review_times(
    entry: &LeaseEntry,
    status: HolderStatus,
    times: LeaseTimes,
) -> impl Iterator<Item = MonoTime> {
    let tombstone_retention = Duration::from_millis(TOMBSTONE_RETENTION_MS);
    let grace_end = match status {
        HolderStatus::UnavailableSince(since) => Some(since + times.holder_grace),
        HolderStatus::Unknown => Some(entry.changed_at + times.holder_grace),
        HolderStatus::Live | HolderStatus::Untrusted => None,
    };
    let tombstone_end = entry
        .change
        .gone
        .then(|| entry.changed_at + tombstone_retention);
    let answer_end = entry.answered_at.map(|at| at + times.lease);
    let orphan_end = entry.orphaned_at.map(|at| at + times.orphan_retention);
    let ends = [
        entry.lease_until,
        answer_end,
        grace_end,
        tombstone_end,
        orphan_end,
    ];
    ends.into_iter().flatten()
}

/// Whether the entry is to be removed; also updates its `orphaned_at`.
fn should_forget(
    entry: &mut LeaseEntry,
    status: HolderStatus,
    times: LeaseTimes,
    now: MonoTime,
) -> bool {
    if entry.change.gone {
        return now.since(entry.changed_at) >= Duration::from_millis(TOMBSTONE_RETENTION_MS);
    }
    if status == HolderStatus::Live || entry.usable {
        entry.orphaned_at = None;
        return false;
    }
    let since = *entry.orphaned_at.get_or_insert(now);
    now.since(since) >= times.orphan_retention
}

fn is_newer(change: &TargetChange, known: &TargetChange) -> bool {
    let rank = |change: &TargetChange| {
        let draining = change.record.state == TargetState::Draining;
        (
            change.record.incarnation,
            change.revision,
            !change.gone,
            draining,
        )
    };
    (rank(change), &change.holder) > (rank(known), &known.holder)
}
