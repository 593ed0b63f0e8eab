//! Chooses the VMs that connect to a target (its brokers) and their connection limits.
//!
//! The connections are shared by the *eligible* VMs: the live VMs, and dead VMs that may
//! still run on the other side of a partition. Shares never overlap:
//!
//! - A joining VM opens only a small part of a reserve until the handover delay has passed.
//!   By then the other VMs have learned of it and have closed the connections that exceed
//!   their new shares, or have lost their majority and fallen back to the reserve.
//! - A VM that has not seen a majority of its eligible VMs for the majority loss timeout
//!   falls back to the reserve, and counts as joining when it sees a majority again.
//! - The share of a dead VM is given to others only after a stable majority has not heard
//!   from it for far longer than the majority loss timeout.
//! - A leaving VM has closed its connections, so its share is free at once.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, TargetRecord, VmName, rendezvous_weight};

use crate::{
    FleetSettings, MemberStatus, VmIdentity, hash::entry_digest, lease::TargetKey,
    member::MemberTable,
};

/// The reserve for VMs in transition is the connection limit divided by this.
const RESERVE_DIVISOR: u32 = 4;
/// Interval between reviews while the members do not change, because timeouts may expire.
const REVIEW_PERIOD_MS: u64 = 1_000;
/// Joining VMs and VMs without a majority may both use the reserve at the same time.
const RESERVE_CLAIMANTS: u32 = 2;

/// Share of a target's limits that one broker may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrokerShare {
    /// Connections that the broker may hold.
    pub connections: u32,
    /// Requests that the broker may have in flight.
    pub concurrency: u32,
}

/// Limits of one target, summed over all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLimits {
    /// Connections that the target accepts.
    pub connections: u32,
    /// Requests that the target runs concurrently.
    pub slots: u32,
}

impl TargetLimits {
    /// Returns the limits that the target announced.
    #[must_use]
    pub fn of(record: &TargetRecord) -> Self {
        Self {
            connections: record.connections,
            slots: record.slots,
        }
    }

    /// Returns the lower of both limits, field by field.
    #[must_use]
    pub fn lower(self, other: Self) -> Self {
        Self {
            connections: self.connections.min(other.connections),
            slots: self.slots.min(other.slots),
        }
    }

    fn reserve(self) -> u32 {
        self.connections / RESERVE_DIVISOR
    }

    fn shared(self) -> u32 {
        self.connections - self.reserve()
    }
}

/// An eligible VM and the hash of its name, from which its rendezvous weights are computed.
#[derive(Clone, Debug)]
struct EligibleVm {
    name: VmName,
    hash: u64,
}

impl EligibleVm {
    fn new(name: VmName) -> Self {
        Self {
            hash: entry_digest(&name),
            name,
        }
    }
}

/// Inputs of the broker plan besides the members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanInputs {
    /// Whether this VM is in contact with any seed or peer.
    pub(crate) connected: bool,
    /// Number of seeds that may be in this data centre.
    pub(crate) local_seeds: usize,
    /// Since when all other VMs have confirmed the same live members.
    pub(crate) agreed_since: Option<MonoTime>,
}

/// The eligible VMs, and the join and majority state of this VM.
#[derive(Clone, Debug)]
pub(crate) struct BrokerPlan {
    eligible: Vec<EligibleVm>,
    /// Dead VMs whose shares have been released to others.
    released: BTreeSet<VmName>,
    /// Number of changes of the eligible VMs; invalidates caches.
    pub(crate) generation: u64,
    joined_at: MonoTime,
    /// Whether all other VMs have confirmed this VM as a member since it joined.
    confirmed: bool,
    local_seeds: usize,
    updated_at: MonoTime,
    /// Generation of the members and `connected` at the last review.
    review_inputs: (u64, bool),
    reviewed_at: Option<MonoTime>,
    majority_since: Option<MonoTime>,
    minority_since: Option<MonoTime>,
}

impl BrokerPlan {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            eligible: Vec::new(),
            released: BTreeSet::new(),
            generation: 0,
            joined_at: now,
            confirmed: false,
            local_seeds: 0,
            updated_at: now,
            review_inputs: (0, false),
            reviewed_at: None,
            majority_since: None,
            minority_since: None,
        }
    }

    /// Updates the eligible VMs and the majority from the current members.
    pub(crate) fn update(
        &mut self,
        members: &MemberTable,
        inputs: PlanInputs,
        settings: &FleetSettings,
        now: MonoTime,
    ) {
        if now.since(self.updated_at) >= settings.majority_loss_timeout {
            // This process was suspended, so its share may have been released to others.
            self.restart_join(now);
        }
        self.updated_at = now;
        self.local_seeds = inputs.local_seeds;
        self.confirmed |= inputs
            .agreed_since
            .is_some_and(|since| now.since(since.max(self.joined_at)) >= settings.confirm_period);
        let review_inputs = (members.generation(), inputs.connected);
        let period = Duration::from_millis(REVIEW_PERIOD_MS);
        let reviewed_recently = self.reviewed_at.is_some_and(|at| now.since(at) < period);
        if self.review_inputs == review_inputs && reviewed_recently {
            return;
        }
        self.review_inputs = review_inputs;
        self.reviewed_at = Some(now);
        self.update_majority(
            members,
            inputs.connected,
            settings.majority_loss_timeout,
            now,
        );
        self.release(members, settings.dead_share_retention, now);
        let names: Vec<_> = self.eligible_names(members).cloned().collect();
        if self.eligible.iter().map(|vm| &vm.name).ne(names.iter()) {
            self.eligible = names.into_iter().map(EligibleVm::new).collect();
            self.generation += 1;
        }
    }

    /// Returns the VMs that connect to the target, the highest weight first.
    pub(crate) fn brokers(&self, record: &TargetRecord, settings: &FleetSettings) -> Vec<VmName> {
        let count = broker_count(self.eligible.len(), TargetLimits::of(record), settings);
        choose_brokers(&self.eligible, record, count)
    }

    /// Returns the number of connections that the VM `own` may hold to a target.
    ///
    /// `previous` are limits that the target announced within the last handover delay.
    pub(crate) fn connections(
        &self,
        own: &VmName,
        record: &TargetRecord,
        previous: Option<TargetLimits>,
        limits: TargetLimits,
        settings: &FleetSettings,
        now: MonoTime,
    ) -> u32 {
        let reserve = self.reserve_share(limits);
        let waited = self.confirmed || now.since(self.joined_at) >= settings.handover_delay;
        let joining = !settings.seeds.is_empty() && !waited;
        if joining || self.has_lost_majority(settings.majority_loss_timeout, now) {
            return reserve;
        }
        let announced = [Some(TargetLimits::of(record)), previous];
        let shares = announced.into_iter().flatten().map(|seen| {
            let count = broker_count(self.eligible.len(), seen, settings);
            if !choose_brokers(&self.eligible, record, count).contains(own) {
                return 0;
            }
            limits.lower(seen).shared() / u32::try_from(count).unwrap_or(u32::MAX)
        });
        shares.min().unwrap_or(0).max(reserve)
    }

    fn has_lost_majority(&self, majority_loss_timeout: Duration, now: MonoTime) -> bool {
        self.minority_since
            .is_some_and(|since| now.since(since) >= majority_loss_timeout)
    }

    fn restart_join(&mut self, now: MonoTime) {
        self.joined_at = now;
        self.confirmed = false;
    }

    fn reserve_share(&self, limits: TargetLimits) -> u32 {
        let eligible = self.eligible.len().max(self.local_seeds + 1);
        let eligible = u32::try_from(eligible).unwrap_or(u32::MAX);
        limits.reserve() / eligible.saturating_mul(RESERVE_CLAIMANTS)
    }

    fn eligible_names<'a>(&'a self, members: &'a MemberTable) -> impl Iterator<Item = &'a VmName> {
        let counted = members
            .entries()
            .filter(|entry| entry.update.status != MemberStatus::Left);
        let names = counted.map(|entry| &entry.update.identity.name);
        names.filter(|name| !self.released.contains(*name))
    }

    fn update_majority(
        &mut self,
        members: &MemberTable,
        connected: bool,
        majority_loss_timeout: Duration,
        now: MonoTime,
    ) {
        let alive = |name: &&VmName| {
            members
                .get(name)
                .is_some_and(|entry| entry.update.status == MemberStatus::Alive)
        };
        let eligible = self.eligible_names(members).count();
        let live = self.eligible_names(members).filter(alive).count();
        if !connected || live * 2 <= eligible {
            self.minority_since.get_or_insert(now);
            self.majority_since = None;
            return;
        }
        if self.has_lost_majority(majority_loss_timeout, now) {
            self.restart_join(now);
        }
        self.majority_since.get_or_insert(now);
        self.minority_since = None;
    }

    /// Releases the shares of VMs that a stable majority has considered dead for `retention`.
    fn release(&mut self, members: &MemberTable, retention: Duration, now: MonoTime) {
        self.released
            .retain(|name| members.get(name).is_some_and(|entry| !entry.is_live()));
        let stable = self
            .majority_since
            .is_some_and(|since| now.since(since) >= retention);
        if !stable {
            return;
        }
        let dead = members.entries().filter(|entry| {
            entry.update.status == MemberStatus::Dead && now.since(entry.changed_at) >= retention
        });
        self.released
            .extend(dead.map(|entry| entry.update.identity.name.clone()));
    }
}

/// Returns the number of requests that the VM `own` may have in flight; the live brokers
/// share the slots.
pub(crate) fn concurrency_share(brokers: &[Arc<VmIdentity>], own: &VmName, slots: u32) -> u32 {
    let Some(position) = brokers.iter().position(|broker| broker.name == *own) else {
        return 0;
    };
    let count = u32::try_from(brokers.len()).unwrap_or(u32::MAX);
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    slots / count + u32::from(position < slots % count)
}

fn broker_count(eligible: usize, limits: TargetLimits, settings: &FleetSettings) -> usize {
    let by_connections = limits.shared() / settings.connections_per_broker_min.max(1);
    let count = by_connections
        .min(limits.slots)
        .min(settings.brokers_max)
        .max(1);
    usize::try_from(count)
        .unwrap_or(usize::MAX)
        .min(eligible.max(1))
}

fn choose_brokers(eligible: &[EligibleVm], record: &TargetRecord, count: usize) -> Vec<VmName> {
    let key = entry_digest(TargetKey::of(record));
    let mut weighted: Vec<_> = eligible
        .iter()
        .map(|vm| (rendezvous_weight(vm.hash, key), &vm.name))
        .collect();
    if count < weighted.len() {
        weighted.select_nth_unstable_by(count, |a, b| b.cmp(a));
        weighted.truncate(count);
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, name)| name.clone()).collect()
}
