//! The registry of one keeper: targets that announce to it, their leases and a log of changes.
//!
//! A keeper is a VM that holds a registry and the configuration. It registers only targets that
//! announce to it. Entry VMs, which accept requests and send them to targets, read the registries
//! of all keepers and merge them (see [`crate::MergedRegistry`]), so keepers need not agree.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use serde::{Deserialize, Serialize};

use crate::announcement::{AnnouncedState, TargetAnnouncement};

/// Number of missed announcements after which a lease ends.
const MISSED_ANNOUNCEMENTS_MAX: u32 = 5;
/// Lease of a target that was restored from disk, in announcement periods.
const RESTORED_LEASE_PERIODS: u32 = 2;
/// Time for which a tombstone is kept; longer than any lease and any delayed announcement.
const TOMBSTONE_RETENTION_MS: u64 = 60_000;
/// Time since its last announcement, in announcement periods, up to which a target that withdraws is the
/// incarnation that announced itself. Later, it may be one that announced itself to another keeper only.
const ANNOUNCED_WITHIN_PERIODS: u32 = 2;
/// Time after a withdrawal in which another one only repeats it, in milliseconds. A target needs longer to end,
/// to start again and to leave again.
const WITHDRAWAL_REPEATED_WITHIN_MS: u64 = 500;
/// Time by which the end of a target's warm-up must change to be passed on, in milliseconds.
const WARM_UP_CHANGE_MIN_MS: u64 = 1_000;
/// A longer warm-up is passed on once less than this time of the one that readers know is left, in
/// milliseconds: two announcements and some lag.
const WARM_UP_RENEWED_BEFORE_MS: u64 = 3_000;
/// Maximum number of lapsed leases kept for readers; readers further behind get all targets.
const LAPSES_MAX: usize = 1024;

/// Position of a reader in the change log of a registry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegistryCursor {
    /// Identifies the run of the registry; a restarted keeper starts a new run.
    pub run: u64,
    /// Revision of the last change that was read.
    pub revision: u64,
}

/// Changes of a registry since the position of a reader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegistryDelta {
    /// Position of the reader after these changes.
    pub cursor: RegistryCursor,
    /// Whether `announcements` lists all registered targets, not only changed ones.
    pub whole: bool,
    /// Whether every live target has had time to announce itself since the keeper started.
    pub settled: bool,
    /// Targets that are new or changed.
    pub announcements: Vec<TargetAnnouncement>,
    /// Targets whose lease has ended.
    pub lapsed: Vec<Arc<str>>,
}

/// Outcome of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnounceOutcome {
    /// The announcement changed the registry.
    Changed,
    /// The announcement only renewed the lease.
    Renewed,
    /// A later announcement is known, or the target has left.
    Stale,
}

#[derive(Debug)]
struct HeldAnnouncement {
    announcement: TargetAnnouncement,
    /// When the target last announced itself or withdrew.
    heard_at: MonoTime,
    lapses_at: MonoTime,
    revision: u64,
    /// Until when the target is cold, as readers know it.
    told_cold_until: MonoTime,
    /// Whether other keepers have stored this departure too. Always false while the target serves.
    is_replicated: bool,
}

impl HeldAnnouncement {
    /// Whether readers must be told that the target is cold for a time that differs from what they
    /// know.
    ///
    /// Load pattern: thousands of targets announce every 1.2 s how long they are still cold, and only
    /// what cannot be derived from earlier announcements is worth a change.
    fn has_other_warm_up(&self, warm_up_ms: u32, now: MonoTime) -> bool {
        let cold_until = now + Duration::from_millis(warm_up_ms.into());
        let change = Duration::from_millis(WARM_UP_CHANGE_MIN_MS);
        let renewed_before = Duration::from_millis(WARM_UP_RENEWED_BEFORE_MS);
        let told = self.told_cold_until.max(now);
        let turns_cold = told == now && warm_up_ms > 0;
        let is_shorter = cold_until + change < told;
        let is_longer = cold_until > told + change && told < now + renewed_before;
        turns_cold || is_shorter || is_longer
    }
}

/// The targets that announce to one keeper, with their leases.
#[derive(Debug)]
pub struct TargetRegistry {
    run: u64,
    revision: u64,
    announce_period: Duration,
    lease: Duration,
    started_at: MonoTime,
    settled: bool,
    held: BTreeMap<Arc<str>, HeldAnnouncement>,
    /// Lapsed leases by revision, oldest first.
    lapses: VecDeque<(u64, Arc<str>)>,
    /// Lowest revision since which all changes are known; older readers get all targets.
    oldest_revision: u64,
}

impl TargetRegistry {
    /// Creates an empty registry; `run` must differ from that of every earlier one of this VM.
    #[must_use]
    pub fn new(run: u64, announce_period: Duration, now: MonoTime) -> Self {
        Self {
            run,
            revision: 0,
            announce_period,
            lease: announce_period * MISSED_ANNOUNCEMENTS_MAX,
            started_at: now,
            settled: false,
            held: BTreeMap::new(),
            lapses: VecDeque::new(),
            oldest_revision: 0,
        }
    }

    /// Restores the targets of an earlier run of this keeper.
    ///
    /// Targets that do not announce themselves again within two announcement periods are
    /// removed, because they may have left in the meantime. Tombstones are kept as long as ever,
    /// since announcements may still be delayed.
    pub fn restore(
        &mut self,
        announcements: Vec<TargetAnnouncement>,
        announce_period: Duration,
        now: MonoTime,
    ) {
        let restored_lease = announce_period * RESTORED_LEASE_PERIODS;
        for announcement in announcements {
            if self.held.contains_key(&announcement.id) {
                continue;
            }
            let id = Arc::clone(&announcement.id);
            self.store(announcement, now);
            if let Some(held) = self.held.get_mut(&id)
                && held.announcement.state != AnnouncedState::Gone
            {
                held.lapses_at = now + restored_lease;
            }
        }
    }

    /// Returns all announcements and tombstones, for [`TargetRegistry::restore`] after a restart.
    #[must_use]
    pub fn snapshot(&self) -> Vec<TargetAnnouncement> {
        self.held
            .values()
            .map(|held| held.announcement.clone())
            .collect()
    }

    /// Returns the revision, which increases with every change of the registry.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies an announcement.
    pub fn announce(&mut self, announcement: TargetAnnouncement, now: MonoTime) -> AnnounceOutcome {
        if let Some(held) = self.held.get_mut(&announcement.id) {
            if announcement.rank() <= held.announcement.rank() {
                return AnnounceOutcome::Stale;
            }
            held.heard_at = now;
            held.lapses_at = now + self.lease;
            let is_same = !held.announcement.differs_from(&announcement)
                && !held.has_other_warm_up(announcement.warm_up_ms, now);
            if is_same {
                // Readers that get all targets learn how long they are cold from now on.
                held.announcement.sequence = announcement.sequence;
                held.announcement.warm_up_ms = announcement.warm_up_ms;
                return AnnounceOutcome::Renewed;
            }
        }
        self.store(announcement, now);
        AnnounceOutcome::Changed
    }

    /// Replaces the announcement of a leaving target by a tombstone.
    ///
    /// `wall_ms` is the current Unix time of this keeper in milliseconds. It is the upper bound
    /// of the start time of an incarnation that did not announce itself here.
    pub fn withdraw(&mut self, id: &Arc<str>, wall_ms: u64, now: MonoTime) -> AnnounceOutcome {
        let Some(held) = self.held.get(id) else {
            self.store(unknown_tombstone(id, wall_ms), now);
            return AnnounceOutcome::Changed;
        };
        let known = &held.announcement;
        let known_within = match known.state {
            AnnouncedState::Gone => Duration::from_millis(WITHDRAWAL_REPEATED_WITHIN_MS),
            AnnouncedState::Serving | AnnouncedState::Draining => {
                self.announce_period * ANNOUNCED_WITHIN_PERIODS
            }
        };
        let is_known = now.since(held.heard_at) <= known_within;
        let born_ms = if is_known {
            known.born_ms
        } else {
            known.born_ms.max(wall_ms)
        };
        let tombstone = TargetAnnouncement {
            state: AnnouncedState::Gone,
            born_ms,
            ..known.clone()
        };
        if tombstone.rank() <= known.rank() {
            return AnnounceOutcome::Stale;
        }
        self.store(tombstone, now);
        AnnounceOutcome::Changed
    }

    /// Returns the announcement of a target that drains or has left, unless
    /// [`TargetRegistry::record_replicated`] was called for it.
    #[must_use]
    pub fn unreplicated_departure(&self, id: &str) -> Option<TargetAnnouncement> {
        let held = self.held.get(id)?;
        let is_departure = held.announcement.state != AnnouncedState::Serving;
        (is_departure && !held.is_replicated).then(|| held.announcement.clone())
    }

    /// Records that other keepers have stored a departure.
    pub fn record_replicated(&mut self, departure: &TargetAnnouncement) {
        if let Some(held) = self.held.get_mut(&departure.id) {
            let known = &held.announcement;
            held.is_replicated |=
                (known.state, known.born_ms) == (departure.state, departure.born_ms);
        }
    }

    /// Applies a departure that another keeper was told. It has effect until a later announcement, or as
    /// long as any tombstone.
    pub fn adopt_departure(
        &mut self,
        departure: TargetAnnouncement,
        now: MonoTime,
    ) -> AnnounceOutcome {
        let held = self.held.get(&departure.id);
        let is_known = held.is_some_and(|held| departure.rank() <= held.announcement.rank());
        if departure.state == AnnouncedState::Serving || is_known {
            return AnnounceOutcome::Stale;
        }
        self.store(departure, now);
        AnnounceOutcome::Changed
    }

    /// Removes targets whose lease has lapsed, and returns them.
    ///
    /// One that was draining leaves a tombstone, so that an announcement from before its drain that
    /// arrives late does not bring it back.
    pub fn expire(&mut self, now: MonoTime) -> Vec<TargetAnnouncement> {
        if !self.settled && now.since(self.started_at) >= self.lease {
            self.settled = true;
            // Readers must read all targets again, to remove those that are absent.
            self.revision += 1;
            self.oldest_revision = self.revision;
        }
        let due: Vec<Arc<str>> = self
            .held
            .iter()
            .filter(|(_, held)| held.lapses_at < now)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        let mut lapsed = Vec::new();
        for id in due {
            let Some(HeldAnnouncement { announcement, .. }) = self.held.remove(&id) else {
                continue;
            };
            if announcement.state == AnnouncedState::Draining {
                let tombstone = TargetAnnouncement {
                    state: AnnouncedState::Gone,
                    ..announcement.clone()
                };
                self.store(tombstone, now);
            } else {
                self.revision += 1;
                self.lapses.push_back((self.revision, id));
            }
            lapsed.push(announcement);
        }
        while self.lapses.len() > LAPSES_MAX {
            if let Some((revision, _)) = self.lapses.pop_front() {
                self.oldest_revision = self.oldest_revision.max(revision);
            }
        }
        lapsed
    }

    /// Returns the changes after the position of a reader; all targets if `cursor` is too old.
    #[must_use]
    pub fn changes_since(&self, cursor: Option<RegistryCursor>) -> RegistryDelta {
        let known = cursor.filter(|cursor| cursor.run == self.run);
        let known = known.filter(|cursor| cursor.revision >= self.oldest_revision);
        let since = known.map_or(0, |cursor| cursor.revision);
        let changed = self.held.values().filter(|held| held.revision > since);
        let lapsed = self.lapses.iter().filter(|(revision, _)| *revision > since);
        RegistryDelta {
            cursor: RegistryCursor {
                run: self.run,
                revision: self.revision,
            },
            whole: known.is_none(),
            settled: self.settled,
            announcements: changed.map(|held| held.announcement.clone()).collect(),
            lapsed: match known {
                Some(_) => lapsed.map(|(_, id)| Arc::clone(id)).collect(),
                None => Vec::new(),
            },
        }
    }

    /// Whether there are changes after the position of a reader.
    #[must_use]
    pub fn has_changes(&self, cursor: Option<RegistryCursor>) -> bool {
        cursor.is_none_or(|cursor| cursor.run != self.run || cursor.revision < self.revision)
    }

    /// Returns the registered targets, without those that have left.
    pub fn targets(&self) -> impl Iterator<Item = &TargetAnnouncement> {
        let held = self.held.values().map(|held| &held.announcement);
        held.filter(|announcement| announcement.state != AnnouncedState::Gone)
    }

    fn store(&mut self, announcement: TargetAnnouncement, now: MonoTime) {
        self.revision += 1;
        let retention = match announcement.state {
            AnnouncedState::Gone => Duration::from_millis(TOMBSTONE_RETENTION_MS),
            AnnouncedState::Serving | AnnouncedState::Draining => self.lease,
        };
        let held = HeldAnnouncement {
            heard_at: now,
            lapses_at: now + retention,
            revision: self.revision,
            told_cold_until: now + Duration::from_millis(announcement.warm_up_ms.into()),
            is_replicated: false,
            announcement,
        };
        self.held.insert(Arc::clone(&held.announcement.id), held);
    }
}

/// Returns the tombstone of a target that has not announced itself here.
fn unknown_tombstone(id: &Arc<str>, wall_ms: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        id: Arc::clone(id),
        service: Arc::from(""),
        address: ([0, 0, 0, 0], 0).into(),
        centre: Arc::from(""),
        slots: 0,
        state: AnnouncedState::Gone,
        born_ms: wall_ms,
        sequence: 0,
        warm_up_ms: 0,
    }
}
