//! The targets that an entry VM may use, merged from what all keepers say.

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

/// Silence of a keeper after which its targets count only if another keeper lists them.
///
/// Its targets have then had time to announce themselves elsewhere.
const KEEPER_SILENCE_MS: u64 = 9_000;

/// What one keeper has said.
#[derive(Debug, Default)]
struct KeeperView {
    mark: Option<RegistryCursor>,
    heard_at: MonoTime,
    settled: bool,
    announcements: HashMap<Arc<str>, TargetAnnouncement>,
}

/// What all keepers say of the targets.
#[derive(Debug, Default)]
pub struct MergedRegistry {
    keepers: BTreeMap<SocketAddr, KeeperView>,
}

impl MergedRegistry {
    /// Where this VM stands in the changes of a keeper.
    #[must_use]
    pub fn mark(&self, keeper: SocketAddr) -> Option<RegistryCursor> {
        self.keepers.get(&keeper).and_then(|view| view.mark)
    }

    /// Takes in what a keeper says; returns whether the targets may have changed.
    pub fn take(&mut self, keeper: SocketAddr, news: RegistryDelta, now: MonoTime) -> bool {
        let view = self.keepers.entry(keeper).or_default();
        let changed = news.whole || !news.announcements.is_empty() || !news.lapsed.is_empty();
        // A keeper that has just started does not know its targets yet: their absence says nothing.
        if news.whole && news.settled {
            view.announcements.clear();
        }
        view.mark = Some(news.mark);
        view.heard_at = now;
        view.settled = news.settled;
        for id in &news.lapsed {
            view.announcements.remove(id);
        }
        for announcement in news.announcements {
            let known = view.announcements.get(&announcement.id);
            if known.is_none_or(|known| known.rank() <= announcement.rank()) {
                view.announcements
                    .insert(Arc::clone(&announcement.id), announcement);
            }
        }
        changed
    }

    /// Forgets keepers that have been silent while another one answers.
    ///
    /// Returns whether the targets may have changed. While no keeper answers, the last
    /// known targets stay in use.
    pub fn remove_silent_keepers(&mut self, now: MonoTime) -> bool {
        let silence = Duration::from_millis(KEEPER_SILENCE_MS);
        let is_silent = |view: &KeeperView| now.since(view.heard_at) > silence;
        let any_heard = self
            .keepers
            .values()
            .any(|view| view.settled && !is_silent(view));
        if !any_heard || !self.keepers.values().any(is_silent) {
            return false;
        }
        self.keepers.retain(|_, view| !is_silent(view));
        true
    }

    /// Keepers that have answered within `period`.
    #[must_use]
    pub fn keepers_heard_within(&self, period: Duration, now: MonoTime) -> usize {
        let heard = |view: &&KeeperView| view.mark.is_some() && now.since(view.heard_at) <= period;
        self.keepers.values().filter(heard).count()
    }

    /// The targets that take work, ordered by id.
    #[must_use]
    pub fn serving(&self) -> Vec<TargetAnnouncement> {
        let mut latest: BTreeMap<&Arc<str>, &TargetAnnouncement> = BTreeMap::new();
        for announcement in self
            .keepers
            .values()
            .flat_map(|view| view.announcements.values())
        {
            let known = latest.entry(&announcement.id).or_insert(announcement);
            if announcement.rank() > known.rank() {
                *known = announcement;
            }
        }
        // An address belongs to whoever started there last.
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
