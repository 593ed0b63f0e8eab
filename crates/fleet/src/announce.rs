//! Announcements of targets, their leases, and the snapshot that is built from them.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::{
    MonoTime, SHARD_COUNT_MAX, TargetRecord, TargetState, VmName, rendezvous_weight,
};

use crate::{
    CentreUpdates, FleetAction, FleetMessage, FleetState, SpreadUpdates, TargetChange, TargetEntry,
    TargetKey, TargetTable, VmIdentity,
    lease::{LeaseTimes, own_holder},
    state::Participation,
};

/// Minimum time between two snapshots, unless a target must not be used any more.
const SNAPSHOT_PERIOD_MIN_MS: u64 = 150;

/// Reply to an accepted announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnounceReply {
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Time until the next announcement is due, in milliseconds.
    pub next_ms: u64,
    /// Address of the VM to announce to next.
    pub at: SocketAddr,
}

/// Why an announcement was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnnounceError {
    /// A later incarnation of the target, with this number, has announced itself.
    StaleIncarnation(u64),
    /// The announcement lists more shards than this maximum.
    TooManyHoldings(usize),
    /// A shard index is not below the shard count of its version, or that count is too large.
    ShardOutOfRange {
        /// The index version.
        version: u64,
        /// The shard index.
        shard: u32,
        /// The announced shard count of the version.
        of: u32,
    },
    /// The target announced zero request slots or zero connections.
    NoCapacity,
    /// This VM is not a member: its name belongs to another VM, or it has left.
    NotTakingPart,
}

/// A target change issued by this VM and the end of its lease.
#[derive(Debug)]
struct OwnLease {
    change: TargetChange,
    until: MonoTime,
}

/// Result of an announcement.
pub type AnnounceResult = Result<AnnounceReply, AnnounceError>;

impl fmt::Display for AnnounceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleIncarnation(known) => {
                write!(
                    f,
                    "a later start has announced itself, with incarnation {known}"
                )
            }
            Self::TooManyHoldings(most) => write!(f, "more than {most} shards are listed"),
            Self::ShardOutOfRange { version, shard, of } => {
                write!(
                    f,
                    "shard {shard} of version {version} is not below {of}, or {of} exceeds {SHARD_COUNT_MAX}"
                )
            }
            Self::NoCapacity => f.write_str("slots and connections must be at least 1"),
            Self::NotTakingPart => f.write_str("this VM does not take part in the fleet"),
        }
    }
}

impl std::error::Error for AnnounceError {}

impl FleetState {
    /// Handles an announcement that a target sent to this VM.
    ///
    /// # Errors
    ///
    /// The result is an error if the announcement is stale or invalid, or if this VM is not a
    /// member of the fleet.
    pub fn announce(
        &mut self,
        record: TargetRecord,
        now: MonoTime,
    ) -> (AnnounceResult, Vec<FleetAction>) {
        let result = self.accept_announcement(record, now);
        self.rebuild_urgent(now);
        (result, std::mem::take(&mut self.actions))
    }

    fn accept_announcement(&mut self, record: TargetRecord, now: MonoTime) -> AnnounceResult {
        self.check_announcement(&record)?;
        let key = TargetKey::of(&record);
        if let Some(change) = self.next_change(&key, record) {
            self.apply_own_change(&key, change, now);
        }
        let lease = self.settings.lease;
        if let Some(entry) = self.leases.get_mut(&key) {
            entry.lease_until = Some(now + lease);
            self.targets_dirty |= !entry.usable;
            self.targets_urgent |= !entry.usable;
        }
        Ok(self.announce_reply(&key))
    }

    fn check_announcement(&self, record: &TargetRecord) -> Result<(), AnnounceError> {
        if self.participation != Participation::Active {
            return Err(AnnounceError::NotTakingPart);
        }
        check_record(record, self.settings.holdings_max)?;
        let known = self.leases.get(&TargetKey::of(record));
        match known.map(|known| known.change.record.incarnation) {
            Some(known) if known > record.incarnation => {
                Err(AnnounceError::StaleIncarnation(known))
            }
            _ => Ok(()),
        }
    }

    /// Returns the change that the announcement makes, or `None` if it only renews the lease.
    fn next_change(&self, key: &TargetKey, record: TargetRecord) -> Option<TargetChange> {
        let holder = own_holder(&self.members);
        let known = self.leases.get(key).map(|known| &known.change);
        let same_incarnation = known.filter(|known| known.record.incarnation == record.incarnation);
        let unchanged = same_incarnation
            .is_some_and(|known| !known.gone && known.holder == holder && *known.record == record);
        if unchanged {
            return None;
        }
        let revision = same_incarnation.map_or(0, |known| known.revision + 1);
        Some(TargetChange {
            record: Arc::new(record),
            holder,
            revision,
            gone: false,
        })
    }

    fn apply_own_change(&mut self, key: &TargetKey, change: TargetChange, now: MonoTime) {
        self.leases.merge(&change, true, now);
        self.targets_dirty = true;
        self.targets_urgent = true;
        if change.record.state == TargetState::Draining {
            self.notify_brokers(key, &change);
        }
        self.pending.targets.push(change);
    }

    /// Sends a drain directly to the brokers, so that they need not wait for the spread tree.
    fn notify_brokers(&mut self, key: &TargetKey, change: &TargetChange) {
        let brokers = self.brokers_of(key).unwrap_or_default();
        let own = self.identity.name.clone();
        for broker in brokers.iter().filter(|broker| broker.name != own) {
            let updates = SpreadUpdates {
                origin: own.clone(),
                // The next tick sends the same change along the tree with this rotation.
                turn: self.turn,
                members: Vec::new(),
                targets: vec![change.clone()],
                centres: CentreUpdates::default(),
            };
            self.send(broker.peers, FleetMessage::Spread(updates));
        }
    }

    fn announce_reply(&self, key: &TargetKey) -> AnnounceReply {
        let live = self.members.live().iter();
        let at = live.max_by_key(|vm| rendezvous_weight(&vm.name, key));
        AnnounceReply {
            lease_ms: millis(self.settings.lease),
            next_ms: millis(self.settings.announce_period),
            at: at.map_or(self.identity.targets, |vm| vm.targets),
        }
    }

    /// Merges target changes from peers; returns the changes that were newer.
    pub(crate) fn merge_targets(
        &mut self,
        changes: Vec<TargetChange>,
        now: MonoTime,
    ) -> Vec<TargetChange> {
        let mut accepted = Vec::new();
        for change in changes {
            if let Err(error) = check_record(&change.record, self.settings.holdings_max) {
                self.actions.push(FleetAction::TargetChangeRefused(error));
                continue;
            }
            let holder = self.members.get(&change.holder.vm);
            let live = holder.is_some_and(|holder| {
                holder.is_live() && holder.update.identity.boot == change.holder.boot
            });
            let own = self.own_lease(&change);
            if self.leases.merge(&change, live, now) {
                self.targets_dirty = true;
                let ends_use = change.gone || change.record.state != TargetState::Serving;
                self.targets_urgent |= ends_use;
                if let Some(own) = own.filter(|_| !live) {
                    self.raise_revision(own, &change, now);
                }
                accepted.push(change);
            }
        }
        accepted
    }

    /// Returns the change that this VM issued for the same target, if it holds the lease.
    fn own_lease(&self, change: &TargetChange) -> Option<OwnLease> {
        let entry = self.leases.get(&TargetKey::of(&change.record))?;
        let held = entry.change.holder == own_holder(&self.members) && !entry.change.gone;
        let until = entry.lease_until.filter(|_| held)?;
        Some(OwnLease {
            change: entry.change.clone(),
            until,
        })
    }

    /// Reissues this VM's change with a revision above that of a holder that is no longer live.
    ///
    /// A restarted VM accepts announcements before it has learned the revisions that it
    /// issued before the restart.
    fn raise_revision(&mut self, own: OwnLease, other: &TargetChange, now: MonoTime) {
        let drains = other.record.state == TargetState::Draining;
        if own.change.record.incarnation != other.record.incarnation || drains {
            return;
        }
        let change = TargetChange {
            revision: other.revision + 1,
            ..own.change
        };
        let key = TargetKey::of(&change.record);
        self.apply_own_change(&key, change, now);
        if let Some(entry) = self.leases.get_mut(&key) {
            entry.lease_until = Some(own.until);
        }
    }

    /// Reviews all leases if any input of the review changed, and ends those that lapsed here.
    pub(crate) fn tick_leases(&mut self, now: MonoTime) {
        self.members
            .withdraw_lease_trust(self.settings.holder_grace, now);
        let review_inputs = (self.members.generation(), self.is_isolated(now));
        let due = self.timers.lease_review.is_some_and(|at| now >= at);
        if !due && !self.is_rebuild_due(now) && self.lease_review_inputs == review_inputs {
            return;
        }
        self.lease_review_inputs = review_inputs;
        let lapsed = self.review_leases(now);
        for key in lapsed {
            let Some(entry) = self.leases.get(&key) else {
                continue;
            };
            let mut change = entry.change.clone();
            change.revision += 1;
            change.gone = true;
            self.apply_own_change(&key, change, now);
        }
    }

    /// Updates which targets are usable; returns the targets whose leases lapsed here.
    fn review_leases(&mut self, now: MonoTime) -> Vec<TargetKey> {
        let times = LeaseTimes {
            lease: self.settings.lease,
            holder_grace: self.settings.holder_grace,
            orphan_retention: self.settings.orphan_retention,
        };
        let isolated = self.is_isolated(now);
        let review = self.leases.review(&self.members, isolated, times, now);
        self.targets_dirty |= review.changed;
        self.timers.lease_review = review.next_at;
        review.lapsed
    }

    /// Builds a new snapshot at once if an urgent change is pending, such as a drain; other
    /// changes wait for the tick.
    pub(crate) fn rebuild_urgent(&mut self, now: MonoTime) {
        if self.targets_urgent {
            self.review_leases(now);
            self.build_targets(now);
        }
    }

    /// Whether the snapshot is outdated and may be rebuilt now.
    fn is_rebuild_due(&self, now: MonoTime) -> bool {
        self.targets_dirty && (self.targets_urgent || now >= self.timers.rebuild)
    }

    /// Builds a new snapshot if it is due.
    pub(crate) fn rebuild_targets(&mut self, now: MonoTime) {
        if self.is_rebuild_due(now) {
            self.build_targets(now);
        }
    }

    fn build_targets(&mut self, now: MonoTime) {
        self.timers.rebuild = now + Duration::from_millis(SNAPSHOT_PERIOD_MIN_MS);
        self.targets_dirty = false;
        self.targets_urgent = false;
        let generation = self.plan.generation;
        let mut entries = Vec::new();
        for (_, entry) in self.leases.entries_mut() {
            if entry.change.gone {
                continue;
            }
            if entry.brokers_generation != Some(generation) {
                entry.brokers = self
                    .plan
                    .brokers(&entry.change.record, &self.settings)
                    .into();
                entry.brokers_generation = Some(generation);
            }
            let brokers = entry
                .brokers
                .iter()
                .filter_map(|name| self.members.live_identity(name));
            entries.push(TargetEntry {
                record: Arc::clone(&entry.change.record),
                brokers: brokers.cloned().collect(),
                usable: entry.usable,
            });
        }
        self.targets = Arc::new(TargetTable::new(entries.into_iter()));
        self.actions.push(FleetAction::TargetsChanged);
    }

    /// Returns the live brokers of the target, the preferred one first.
    pub(crate) fn brokers_of(&self, key: &TargetKey) -> Option<Vec<Arc<VmIdentity>>> {
        let entry = self.leases.get(key)?;
        let live = |name: &VmName| self.members.live_identity(name).cloned();
        if entry.brokers_generation == Some(self.plan.generation) {
            return Some(entry.brokers.iter().filter_map(live).collect());
        }
        let names = self.plan.brokers(&entry.change.record, &self.settings);
        Some(names.iter().filter_map(live).collect())
    }
}

fn check_record(record: &TargetRecord, holdings_max: usize) -> Result<(), AnnounceError> {
    if record.versions.len() > holdings_max {
        return Err(AnnounceError::TooManyHoldings(holdings_max));
    }
    if record.slots == 0 || record.connections == 0 {
        return Err(AnnounceError::NoCapacity);
    }
    let mut holdings = record.versions.iter();
    match holdings.find(|holding| holding.shard >= holding.of || holding.of > SHARD_COUNT_MAX) {
        Some(holding) => Err(AnnounceError::ShardOutOfRange {
            version: holding.version,
            shard: holding.shard,
            of: holding.of,
        }),
        None => Ok(()),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
