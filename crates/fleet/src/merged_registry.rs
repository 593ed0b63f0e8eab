//! The targets that an entry VM may use, merged from the registries of all keepers.
//!
//! An entry VM accepts requests and sends them to targets. A keeper is a VM that holds a registry
//! of the targets that announce to it (see [`crate::TargetRegistry`]).

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use crate::{
    announcement::{AnnouncedState, TargetAnnouncement},
    registry::{RegistryCursor, RegistryDelta},
};

/// Silence after which the registry of a keeper is ignored while another keeper answers.
///
/// Its targets have had time to announce themselves to another keeper by then.
const KEEPER_SILENCE_MS: u64 = 9_000;

/// The copy of one keeper's registry.
#[derive(Debug, Default)]
struct KeeperCopy {
    cursor: Option<RegistryCursor>,
    heard_at: MonoTime,
    settled: bool,
    announcements: HashMap<Arc<str>, TargetAnnouncement>,
}

/// The registries of all keepers, merged on reading.
#[derive(Debug, Default)]
pub struct MergedRegistry {
    keepers: BTreeMap<SocketAddr, KeeperCopy>,
}

impl MergedRegistry {
    /// Returns the position of this VM in the changes of a keeper.
    #[must_use]
    pub fn cursor(&self, keeper: SocketAddr) -> Option<RegistryCursor> {
        self.keepers.get(&keeper).and_then(|copy| copy.cursor)
    }

    /// Applies the changes of a keeper; returns whether the targets may have changed.
    pub fn apply_delta(&mut self, keeper: SocketAddr, delta: RegistryDelta, now: MonoTime) -> bool {
        let copy = self.keepers.entry(keeper).or_default();
        let changed = delta.whole || !delta.announcements.is_empty() || !delta.lapsed.is_empty();
        // A keeper that has just started does not know its targets yet, so absent ones are kept.
        if delta.whole && delta.settled {
            copy.announcements.clear();
        }
        copy.cursor = Some(delta.cursor);
        copy.heard_at = now;
        copy.settled = delta.settled;
        for id in &delta.lapsed {
            copy.announcements.remove(id);
        }
        for announcement in delta.announcements {
            let known = copy.announcements.get(&announcement.id);
            if known.is_none_or(|known| known.rank() <= announcement.rank()) {
                copy.announcements
                    .insert(Arc::clone(&announcement.id), announcement);
            }
        }
        changed
    }

    /// Removes keepers that have been silent while another one answers.
    ///
    /// Returns whether the targets may have changed. While no keeper answers, the last
    /// known targets stay in use.
    pub fn remove_silent_keepers(&mut self, now: MonoTime) -> bool {
        let silence = Duration::from_millis(KEEPER_SILENCE_MS);
        let is_silent = |copy: &KeeperCopy| now.since(copy.heard_at) > silence;
        let any_heard = self
            .keepers
            .values()
            .any(|copy| copy.settled && !is_silent(copy));
        if !any_heard || !self.keepers.values().any(is_silent) {
            return false;
        }
        self.keepers.retain(|_, copy| !is_silent(copy));
        true
    }

    /// Returns the number of keepers that have answered within `period`.
    #[must_use]
    pub fn keepers_heard_within(&self, period: Duration, now: MonoTime) -> usize {
        let heard =
            |copy: &&KeeperCopy| copy.cursor.is_some() && now.since(copy.heard_at) <= period;
        self.keepers.values().filter(heard).count()
    }

    /// Returns the targets that accept new requests, ordered by id.
    #[must_use]
    pub fn serving(&self) -> Vec<TargetAnnouncement> {
        let mut latest: BTreeMap<&Arc<str>, &TargetAnnouncement> = BTreeMap::new();
        for announcement in self
            .keepers
            .values()
            .flat_map(|copy| copy.announcements.values())
        {
            let known = latest.entry(&announcement.id).or_insert(announcement);
            if announcement.rank() > known.rank() {
                *known = announcement;
            }
        }
        // An address belongs to the target that started there last.
        let mut owners: HashMap<SocketAddr, (u64, u64)> = HashMap::new();
        for announcement in latest.values() {
            if announcement.state != AnnouncedState::Gone {
                let owner = owners.entry(announcement.address).or_default();
                *owner = (*owner).max(announcement.rank());
            }
        }
        let mut serving: Vec<TargetAnnouncement> = Vec::new();
        for announcement in latest.into_values() {
            let owns = owners.get(&announcement.address).map(|owner| owner.0)
                == Some(announcement.born_ms);
            if announcement.state == AnnouncedState::Serving && owns {
                serving.push(announcement.clone());
            }
        }
        serving
    }
}
